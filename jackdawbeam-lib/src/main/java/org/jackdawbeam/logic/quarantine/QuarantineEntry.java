package org.jackdawbeam.logic.quarantine;

import java.util.OptionalLong;

/**
 * Quarantine of a group of prompt parts or of a request.
 *
 * @param trials number of trials that have been started
 * @param released whether the group may be used again; kept for a while so that older reports have no effect
 * @param changedAtMillis when this entry learned of the quarantine or release
 * @param nextTrialAtMillis time from which one request may be tried
 * @param trialRequest request of this entry that may be sent as a trial
 */
public record QuarantineEntry(
        int trials, boolean released, long changedAtMillis, long nextTrialAtMillis, OptionalLong trialRequest) {
    private static final int MAX_DOUBLINGS = 6;

    /** Returns the entry of a group that is quarantined anew. */
    static QuarantineEntry quarantined(QuarantinePolicy policy, int trials, long nowMillis) {
        return new QuarantineEntry(
                trials, false, nowMillis, nowMillis + trialDelayMillis(policy, trials), OptionalLong.empty());
    }

    QuarantineEntry release(long nowMillis) {
        return new QuarantineEntry(trials, true, nowMillis, nowMillis, OptionalLong.empty());
    }

    QuarantineEntry withChangedAt(long nowMillis) {
        return new QuarantineEntry(trials, released, nowMillis, nextTrialAtMillis, trialRequest);
    }

    QuarantineEntry withTrial(QuarantinePolicy policy, long request, long nowMillis) {
        long nextTrialAt = nowMillis + trialDelayMillis(policy, trials + 1);
        return new QuarantineEntry(trials + 1, false, nowMillis, nextTrialAt, OptionalLong.of(request));
    }

    boolean isNewerThan(QuarantineEntry other) {
        return trials > other.trials || trials == other.trials && released && !other.released;
    }

    private static long trialDelayMillis(QuarantinePolicy policy, int trials) {
        return policy.firstTrialMillis() << Math.min(Math.max(0, trials), MAX_DOUBLINGS);
    }
}
