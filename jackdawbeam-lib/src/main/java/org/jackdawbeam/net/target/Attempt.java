package org.jackdawbeam.net.target;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jackdawbeam.model.request.AttemptFailure;
import org.jackdawbeam.model.request.AttemptId;
import org.jackdawbeam.model.settings.EntryTimings;
import org.jackdawbeam.net.caller.OpenRequest;

/**
 * One try of a request at one target, as the connection sees it.
 *
 * @param id id of the attempt
 * @param address address of the target
 * @param request the request at the edge
 * @param streamed whether the answer is relayed as a stream of events
 * @param storesResponse whether the answer is kept for repeats with the same idempotency key
 * @param timings time limits
 * @param listener hears how the attempt goes
 * @param ended becomes true with the last call to the listener
 */
record Attempt(
        AttemptId id,
        InetSocketAddress address,
        OpenRequest request,
        boolean streamed,
        boolean storesResponse,
        EntryTimings timings,
        AttemptListener listener,
        AtomicBoolean ended) {

    /** Reports the failure unless the attempt has ended already. */
    void fail(AttemptFailure failure, boolean mayHaveRun) {
        if (ended.compareAndSet(false, true)) {
            listener.onFailed(failure, mayHaveRun);
        }
    }

    /** Returns whether the answer may still reach the caller. */
    boolean isCurrent() {
        return !ended.get() && request.isCurrent(id);
    }
}
