package org.jackdawbeam.net.target;

import java.util.Optional;
import org.jackdawbeam.model.request.AttemptFailure;
import org.jackdawbeam.model.request.StoredAnswer;

/**
 * Receives the progress of one attempt. Exactly one of {@link #onCompleted} and {@link #onFailed} is called, and it is
 * the last call.
 */
public interface AttemptListener {

    /** The request is about to be written to a connection. */
    void onWritten();

    /** The first event of a streamed response, or a complete buffered response, has arrived. */
    void onAnswering();

    /**
     * The complete response has arrived.
     *
     * @param generatedTokens number of generated tokens; negative if unknown
     * @param slowGapShare fraction of inter-token gaps that were too long; negative if unknown
     * @param answer response to store for retries with the same idempotency key
     */
    void onCompleted(long generatedTokens, double slowGapShare, Optional<StoredAnswer> answer);

    /**
     * The attempt has failed.
     *
     * @param mayHaveRun whether the target may have executed the request
     */
    void onFailed(AttemptFailure failure, boolean mayHaveRun);
}
