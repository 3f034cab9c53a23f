package org.jackdawbeam.model.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * What an entry knows of prompt parts that may crash engines. Entries exchange it with their heartbeats, and merge it
 * so that neither order nor repetition of the messages matters. Times are ages, as the clocks of entries differ.
 *
 * @param requests the same for whole requests, whose fingerprints take the place of parts; empty if there is nothing to
 *     tell
 */
public record QuarantineReport(
        List<EngineLoss> losses, List<QuarantinedParts> quarantined, Optional<QuarantineReport> requests) {
    private static final QuarantineReport EMPTY = new QuarantineReport(List.of(), List.of(), Optional.empty());

    public QuarantineReport {
        losses = copy(losses);
        quarantined = copy(quarantined);
        requests = requests == null ? Optional.empty() : requests;
    }

    /** Returns the report that also tells of whole requests. */
    public QuarantineReport withRequests(QuarantineReport told) {
        return new QuarantineReport(losses, quarantined, told.equals(EMPTY) ? Optional.empty() : Optional.of(told));
    }

    /** Returns a report without content. */
    public static QuarantineReport empty() {
        return EMPTY;
    }

    /**
     * An engine whose connections were lost while requests waited for the first byte of their answers.
     *
     * @param startedAtMillis Unix time of the engine's start; a later start is another loss
     * @param survived whether the same start of the engine has answered a later request, so that it did not crash
     * @param suspects requests that may have caused the loss
     * @param cleared parts that an engine has answered since the loss
     */
    public record EngineLoss(
            String target,
            long startedAtMillis,
            long ageMillis,
            boolean survived,
            List<Suspect> suspects,
            Set<Long> cleared) {
        public EngineLoss {
            suspects = copy(suspects);
            cleared = cleared == null ? Set.of() : Set.copyOf(cleared);
        }
    }

    /**
     * A request that was lost with its engine.
     *
     * @param request fingerprint of the request; copies of one request have the same
     * @param waitedMillis time from sending the request until the engine was lost
     * @param parts ids of the shared parts of its prompt
     */
    public record Suspect(long request, long waitedMillis, List<Long> parts) {
        public Suspect {
            parts = copy(parts);
        }
    }

    /**
     * Parts of prompts that together crash engines. A request is affected if its prompt contains all of them.
     *
     * @param scope what the parts stand for; older builds tell of parts of prompts only
     * @param parts part ids in ascending order, or the fingerprint of a request
     * @param trials number of trials that have been started; of two reports about the same parts the higher is newer
     * @param released whether the parts may be used again; takes precedence among reports with the same trials
     * @param trialInMillis time until one request may be tried
     */
    public record QuarantinedParts(
            QuarantineScope scope, List<Long> parts, int trials, boolean released, long trialInMillis) {
        public QuarantinedParts {
            scope = scope == null ? QuarantineScope.PROMPT_PARTS : scope;
            parts = copy(parts);
        }
    }

    /** Returns an immutable copy; a list that a message lacks is empty. */
    private static <T> List<T> copy(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }
}
