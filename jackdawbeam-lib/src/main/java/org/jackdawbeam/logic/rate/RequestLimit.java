package org.jackdawbeam.logic.rate;

/**
 * Number of requests that a target states to accept from all entries together, and this entry's bucket for them.
 *
 * @param heardAtMillis when the target last stated it, to this entry or another
 */
public record RequestLimit(double requestsPerSecond, long heardAtMillis, RequestBucket bucket) {

    /** Returns a limit that has just been stated; requests accrue from now on. */
    public static RequestLimit stated(double requestsPerSecond, long nowMillis) {
        return new RequestLimit(requestsPerSecond, nowMillis, RequestBucket.empty(nowMillis));
    }

    /** Returns the limit after the target has stated it again, perhaps with another value. */
    public RequestLimit statedAgain(double statedPerSecond, long nowMillis) {
        return new RequestLimit(statedPerSecond, Math.max(heardAtMillis, nowMillis), bucket);
    }

    /** Returns the limit with the given bucket. */
    public RequestLimit withBucket(RequestBucket changed) {
        return new RequestLimit(requestsPerSecond, heardAtMillis, changed);
    }

    /** Returns how the entries share the limit. */
    public SharedRate rate() {
        return SharedRate.stated(requestsPerSecond);
    }
}
