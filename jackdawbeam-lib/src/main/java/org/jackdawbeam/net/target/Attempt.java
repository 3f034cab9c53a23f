package org.jackdawbeam.net.target;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jackdawbeam.model.request.AttemptFailure;
import org.jackdawbeam.model.request.AttemptId;
import org.jackdawbeam.model.settings.EntryTimings;
import org.jackdawbeam.net.caller.OpenRequest;

/**
 * An attempt to execute a request on a target, with what its connection needs to know.
 *
 * @param id id of the attempt
 * @param address address of the target
 * @param request request to execute
 * @param streamed whether the response is relayed as an event stream
 * @param storesResponse whether the response is stored for retries with the same idempotency key
 * @param timings time limits
 * @param listener receives the progress and the result of the attempt
 * @param ended whether the result has been reported to the listener
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

    /** Returns whether the response may still be sent to the caller. */
    boolean isCurrent() {
        return !ended.get() && request.isCurrent(id);
    }
}
