package org.jackdawbeam.logic.fleet;

import java.util.OptionalLong;

/**
 * Read position and freshness of a feed.
 *
 * @param nextOffset offset of the next read; empty if the newest entry of each key must be read first
 * @param readPending whether a read is in flight
 * @param askedAtMillis when the latest read was sent
 * @param freshAtMillis when the latest successful read was sent; empty before the first
 * @param failures failures since the latest answer
 * @param nextReadAtMillis earliest time of the next read
 * @param outage what the reads have shown of the latest outage of the store
 */
public record FeedState(
        OptionalLong nextOffset,
        boolean readPending,
        long askedAtMillis,
        OptionalLong freshAtMillis,
        int failures,
        long nextReadAtMillis,
        FeedOutage outage) {

    static FeedState initial() {
        return new FeedState(OptionalLong.empty(), false, 0, OptionalLong.empty(), 0, 0, FeedOutage.none());
    }

    FeedState readSent(long nowMillis) {
        return new FeedState(nextOffset, true, nowMillis, freshAtMillis, failures, nextReadAtMillis, outage);
    }

    FeedState readSucceeded(long nowMillis, long askedAt, long offset, long nextReadAt) {
        long fresh = Math.max(askedAt, freshAtMillis.orElse(Long.MIN_VALUE));
        return new FeedState(
                OptionalLong.of(offset),
                false,
                askedAtMillis,
                OptionalLong.of(fresh),
                0,
                nextReadAt,
                outage.answered(nowMillis, failures));
    }

    /** Returns the feed after a failed read. A store that has deleted the history answers, so it is not away. */
    FeedState readFailed(long nowMillis, boolean historyGone, long nextReadAt) {
        return historyGone
                ? new FeedState(
                        OptionalLong.empty(),
                        false,
                        askedAtMillis,
                        freshAtMillis,
                        failures,
                        nextReadAt,
                        outage.answered(nowMillis, failures))
                : new FeedState(
                        nextOffset,
                        false,
                        askedAtMillis,
                        freshAtMillis,
                        failures + 1,
                        nextReadAt,
                        outage.unanswered(askedAtMillis));
    }

    /** Returns the feed after entries relayed by a hub have been applied. */
    FeedState advancedTo(long offset) {
        return new FeedState(
                OptionalLong.of(Math.max(offset, nextOffset.orElse(0))),
                readPending,
                askedAtMillis,
                freshAtMillis,
                failures,
                nextReadAtMillis,
                outage);
    }

    /** Returns the feed after another member's read has shown that nothing is missing as of the given time. */
    FeedState confirmed(long atMillis) {
        long fresh = Math.max(atMillis, freshAtMillis.orElse(Long.MIN_VALUE));
        return new FeedState(
                nextOffset, readPending, askedAtMillis, OptionalLong.of(fresh), failures, nextReadAtMillis, outage);
    }

    /** Returns the feed of a restored store: everything is read again, and missing entries may still be rewritten. */
    FeedState restored(long nowMillis, long nextReadAt) {
        return new FeedState(
                OptionalLong.empty(),
                false,
                askedAtMillis,
                freshAtMillis,
                0,
                nextReadAt,
                outage.returned(nowMillis, nowMillis));
    }

    /** Returns the feed after a successful read that does not prove that the feed is up to date. */
    FeedState readSucceededButStale(long nowMillis, long offset, long nextReadAt) {
        return new FeedState(
                OptionalLong.of(offset),
                false,
                askedAtMillis,
                freshAtMillis,
                0,
                nextReadAt,
                outage.answered(nowMillis, failures));
    }

    /** Returns the feed scheduled for an immediate read. */
    FeedState dueNow() {
        return new FeedState(nextOffset, readPending, askedAtMillis, OptionalLong.empty(), failures, 0, outage);
    }

    /** Returns whether the latest answered read was sent less than the given time ago. */
    boolean isFresh(long nowMillis, long withinMillis) {
        return freshAtMillis.isPresent() && nowMillis - freshAtMillis.getAsLong() < withinMillis;
    }

    /** Returns the time until which registrations that expired during the latest outage may still be renewed. */
    long renewalsUntilMillis(long nowMillis) {
        return outage.answered(nowMillis, failures).renewalsUntilMillis();
    }
}
