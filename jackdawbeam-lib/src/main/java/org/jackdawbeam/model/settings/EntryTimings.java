package org.jackdawbeam.model.settings;

/**
 * Timeouts, intervals and limits of an entry. All times are in milliseconds.
 *
 * @param heartbeatMillis interval between heartbeats to each peer
 * @param leaseMillis duration of the lease on the share of a member after contact with the log or with a majority
 * @param driftMillis allowance for clock drift during a lease
 * @param memberDeadMillis time without contact after which the exclusion of a member is proposed
 * @param logPollMillis interval between reads of the log
 * @param appendRetryMillis time after which an unanswered append is repeated
 * @param borrowMillis maximum time that a request waits for tokens from peers; less than {@code driftMillis}, so that
 *     borrowed tokens are spent before the share of the lender can be reassigned
 * @param firstTokenMillis deadline of the first token of a completion
 * @param serviceCallMillis deadline of a call to a plain service
 * @param totalMillis deadline of a whole request
 * @param firstByteMillis timeout for the first byte of a response of a target
 * @param betweenTokensMillis idle time within a stream after which the attempt fails
 * @param entriesMaximumAgeMillis time for which callers cache the list of entries
 * @param claimWindowMillis retention time of idempotency keys
 * @param placementMillis interval between placement decisions
 * @param orderLifeMillis time after which an order that was delayed in transit is no longer executed
 * @param orderAnswerMillis timeout for the response of an engine to an order
 * @param loadPollMillis interval between load reports of an engine
 * @param snapshotRecords number of log records after which a snapshot is appended
 * @param snapshotMillis age of the last snapshot after which another one is appended
 * @param maximumQueued maximum number of requests queued in one entry
 */
public record EntryTimings(
        long heartbeatMillis,
        long leaseMillis,
        long driftMillis,
        long memberDeadMillis,
        long logPollMillis,
        long appendRetryMillis,
        long borrowMillis,
        long firstTokenMillis,
        long serviceCallMillis,
        long totalMillis,
        long firstByteMillis,
        long betweenTokensMillis,
        long entriesMaximumAgeMillis,
        long claimWindowMillis,
        long placementMillis,
        long orderLifeMillis,
        long orderAnswerMillis,
        long loadPollMillis,
        long snapshotRecords,
        long snapshotMillis,
        int maximumQueued) {

    private static final long DAY_MILLIS = 24L * 60 * 60 * 1000;

    /** Returns the defaults of a daemon that is started without further flags. */
    public static EntryTimings defaults() {
        return new EntryTimings(
                500,
                2_000,
                500,
                2_000,
                100,
                1_000,
                250,
                10_000,
                10_000,
                300_000,
                10_000,
                5_000,
                5_000,
                DAY_MILLIS,
                500,
                20_000,
                15_000,
                250,
                5_000,
                600_000,
                2_000);
    }

    /** Returns the timings with a different interval between snapshots. */
    public EntryTimings withSnapshotRecords(long records) {
        return copy(driftMillis, firstTokenMillis, records);
    }

    /** Returns the timings with a different allowance for clock drift. */
    public EntryTimings withDriftMillis(long millis) {
        return copy(millis, firstTokenMillis, snapshotRecords);
    }

    /** Returns the timings with a different deadline for the first token. */
    public EntryTimings withFirstTokenMillis(long millis) {
        return copy(driftMillis, millis, snapshotRecords);
    }

    private EntryTimings copy(long newDrift, long newFirstToken, long newSnapshotRecords) {
        return new EntryTimings(
                heartbeatMillis,
                leaseMillis,
                newDrift,
                memberDeadMillis,
                logPollMillis,
                appendRetryMillis,
                borrowMillis,
                newFirstToken,
                serviceCallMillis,
                totalMillis,
                firstByteMillis,
                betweenTokensMillis,
                entriesMaximumAgeMillis,
                claimWindowMillis,
                placementMillis,
                orderLifeMillis,
                orderAnswerMillis,
                loadPollMillis,
                newSnapshotRecords,
                snapshotMillis,
                maximumQueued);
    }
}
