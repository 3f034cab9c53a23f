package org.jackdawbeam.model.refusal;

import java.util.OptionalLong;

/**
 * A final negative answer to a request.
 *
 * @param code reason of the refusal
 * @param ran whether a target may have executed the request
 * @param retryAfterMillis when the caller should try again, in milliseconds; empty if a retry cannot succeed
 */
public record Refusal(RefusalCode code, ExecutionStatus ran, OptionalLong retryAfterMillis) {

    /** Returns a refusal of a request of which no byte reached a target and which cannot succeed when repeated. */
    public static Refusal notRun(RefusalCode code) {
        return new Refusal(code, ExecutionStatus.NO, OptionalLong.empty());
    }

    /** Returns a refusal of a request of which no byte reached a target and which may be sent again later. */
    public static Refusal notRun(RefusalCode code, long retryAfterMillis) {
        return new Refusal(code, ExecutionStatus.NO, OptionalLong.of(retryAfterMillis));
    }

    /** Returns a refusal of a request that a target may have executed. */
    public static Refusal unknown(RefusalCode code) {
        return new Refusal(code, ExecutionStatus.UNKNOWN, OptionalLong.empty());
    }
}
