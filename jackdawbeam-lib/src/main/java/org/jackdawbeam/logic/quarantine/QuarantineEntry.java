package org.jackdawbeam.logic.quarantine;

import java.util.OptionalLong;

/**
 * Quarantine of a group of prompt parts.
 *
 * @param trials number of trials that have been started
 * @param released whether the group may be used again; kept for a while so that older reports have no effect
 * @param changedAtMillis when this entry learned of the quarantine or release
 * @param nextTrialAtMillis time from which one request may be tried
 * @param trialRequest request of this entry that may be sent as a trial
 */
public record QuarantineEntry(
        int trials, boolean released, long changedAtMillis, long nextTrialAtMillis, OptionalLong trialRequest) {
    private static final long FIRST_TRIAL_MILLIS = 30_000; // several restarts of an engine
    private static final int MAX_DOUBLINGS = 6; // half an hour

    /** Returns the entry of a group that is quarantined anew. */
    static QuarantineEntry quarantined(int trials, long nowMillis) {
        return new QuarantineEntry(
                trials, false, nowMillis, nowMillis + trialDelayMillis(trials), OptionalLong.empty());
    }

    QuarantineEntry release(long nowMillis) {
        return new QuarantineEntry(trials, true, nowMillis, nowMillis, OptionalLong.empty());
    }

    QuarantineEntry withChangedAt(long nowMillis) {
        return new QuarantineEntry(trials, released, nowMillis, nextTrialAtMillis, trialRequest);
    }

    QuarantineEntry withTrial(long request, long nowMillis) {
        return new QuarantineEntry(
                trials + 1, false, nowMillis, nowMillis + trialDelayMillis(trials + 1), OptionalLong.of(request));
    }

    boolean isNewerThan(QuarantineEntry other) {
        return trials > other.trials || trials == other.trials && released && !other.released;
    }

    private static long trialDelayMillis(int trials) {
        return FIRST_TRIAL_MILLIS << Math.min(Math.max(0, trials), MAX_DOUBLINGS);
    }
}
