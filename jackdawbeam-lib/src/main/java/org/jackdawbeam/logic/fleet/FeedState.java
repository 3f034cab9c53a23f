package org.jackdawbeam.logic.fleet;

import java.util.OptionalLong;

/**
 * Read position and freshness of a feed.
 *
 * @param nextOffset offset of the next read; empty if the newest entry of each key must be read first
 * @param readPending whether a read is in flight
 * @param askedAtMillis when the latest read was sent
 * @param freshAtMillis when the latest successful read was sent; empty before the first
 * @param failedAtMillis time of the latest failure; empty if there was none
 * @param failures failures since the latest answer
 * @param nextReadAtMillis earliest time of the next read
 */
public record FeedState(
        OptionalLong nextOffset,
        boolean readPending,
        long askedAtMillis,
        OptionalLong freshAtMillis,
        OptionalLong failedAtMillis,
        int failures,
        long nextReadAtMillis) {

    static FeedState initial() {
        return new FeedState(OptionalLong.empty(), false, 0, OptionalLong.empty(), OptionalLong.empty(), 0, 0);
    }

    FeedState readSent(long nowMillis) {
        return new FeedState(nextOffset, true, nowMillis, freshAtMillis, failedAtMillis, failures, nextReadAtMillis);
    }

    FeedState readSucceeded(long askedAt, long offset, long nextReadAt) {
        long fresh = Math.max(askedAt, freshAtMillis.orElse(Long.MIN_VALUE));
        return new FeedState(
                OptionalLong.of(offset), false, askedAtMillis, OptionalLong.of(fresh), failedAtMillis, 0, nextReadAt);
    }

    FeedState readFailed(long nowMillis, boolean historyGone, long nextReadAt) {
        OptionalLong next = historyGone ? OptionalLong.empty() : nextOffset;
        return new FeedState(
                next,
                false,
                askedAtMillis,
                freshAtMillis,
                OptionalLong.of(nowMillis),
                failures + (historyGone ? 0 : 1),
                nextReadAt);
    }

    /** Returns the feed after entries relayed by a hub have been applied. */
    FeedState advancedTo(long offset) {
        return new FeedState(
                OptionalLong.of(Math.max(offset, nextOffset.orElse(0))),
                readPending,
                askedAtMillis,
                freshAtMillis,
                failedAtMillis,
                failures,
                nextReadAtMillis);
    }

    /** Returns the feed after another member's read has shown that nothing is missing as of the given time. */
    FeedState confirmed(long atMillis) {
        long fresh = Math.max(atMillis, freshAtMillis.orElse(Long.MIN_VALUE));
        return new FeedState(
                nextOffset,
                readPending,
                askedAtMillis,
                OptionalLong.of(fresh),
                failedAtMillis,
                failures,
                nextReadAtMillis);
    }

    /** Returns the feed of a restored store: everything is read again, and missing entries may still be rewritten. */
    FeedState restored(long nowMillis, long nextReadAt) {
        return new FeedState(
                OptionalLong.empty(), false, askedAtMillis, freshAtMillis, OptionalLong.of(nowMillis), 0, nextReadAt);
    }

    /** Returns the feed after a successful read that does not prove that the feed is up to date. */
    FeedState readSucceededButStale(long offset, long nextReadAt) {
        return new FeedState(
                OptionalLong.of(offset), false, askedAtMillis, freshAtMillis, failedAtMillis, 0, nextReadAt);
    }

    /** Returns the feed scheduled for an immediate read. */
    FeedState dueNow() {
        return new FeedState(nextOffset, readPending, askedAtMillis, OptionalLong.empty(), failedAtMillis, failures, 0);
    }

    /** Returns whether the latest answered read was sent less than the given time ago. */
    boolean isFresh(long nowMillis, long withinMillis) {
        return freshAtMillis.isPresent() && nowMillis - freshAtMillis.getAsLong() < withinMillis;
    }

    boolean failedSince(long sinceMillis) {
        return failedAtMillis.isPresent() && failedAtMillis.getAsLong() >= sinceMillis;
    }
}
