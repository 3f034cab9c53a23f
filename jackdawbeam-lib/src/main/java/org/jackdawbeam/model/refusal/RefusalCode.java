package org.jackdawbeam.model.refusal;

/** Reason for a refusal, with the corresponding HTTP status. */
public enum RefusalCode {
    MALFORMED_REQUEST(400),
    KEY_MISSING(401),
    KEY_UNKNOWN(401),
    KEY_WITHDRAWN(401),
    ROUTE_FORBIDDEN(403),
    MODEL_UNKNOWN(404),
    ROUTE_UNKNOWN(404),
    REQUEST_TIMEOUT(408),
    REQUEST_TOO_LARGE(413),
    CALLER_LEFT(499),
    IDEMPOTENCY_KEY_REUSED(422),
    COST_EXCEEDS_BURST(422),
    OVER_RATE(429),
    QUEUE_FULL(503),
    NO_CAPACITY(503),
    NOT_READY(503),
    HOST_ISOLATED(503),
    PLATFORM_LOG_UNAVAILABLE(503),
    PROMPT_QUARANTINED(503),
    REQUEST_QUARANTINED(503),
    TARGET_FAILED(502),
    OUTCOME_UNKNOWN(502),
    DEADLINE_EXCEEDED(504);

    private final int httpStatus;

    RefusalCode(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    /** Returns the HTTP status code for this refusal. */
    public int httpStatus() {
        return httpStatus;
    }
}
