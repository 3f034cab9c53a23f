package org.jackdawbeam.model.refusal;

import java.util.OptionalLong;

/**
 * A final refusal of a request.
 *
 * @param code reason of the refusal
 * @param ran whether a target may have executed the request
 * @param retryAfterMillis delay after which the caller should retry, in milliseconds; empty if a retry cannot succeed
 */
public record Refusal(RefusalCode code, ExecutionStatus ran, OptionalLong retryAfterMillis) {

    /** Returns the refusal of a request that was not sent to a target and for which a retry cannot succeed. */
    public static Refusal notRun(RefusalCode code) {
        return new Refusal(code, ExecutionStatus.NO, OptionalLong.empty());
    }

    /** Returns the refusal of a request that was not sent to a target and may be retried after the given delay. */
    public static Refusal notRun(RefusalCode code, long retryAfterMillis) {
        return new Refusal(code, ExecutionStatus.NO, OptionalLong.of(retryAfterMillis));
    }

    /** Returns the refusal of a request that a target may have executed. */
    public static Refusal unknown(RefusalCode code) {
        return new Refusal(code, ExecutionStatus.UNKNOWN, OptionalLong.empty());
    }
}
