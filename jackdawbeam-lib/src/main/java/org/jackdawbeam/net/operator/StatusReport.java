package org.jackdawbeam.net.operator;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.jackdawbeam.logic.entry.EntryState;
import org.jackdawbeam.logic.membership.Membership;
import org.jackdawbeam.logic.target.TargetState;
import org.jackdawbeam.model.settings.EntryTimings;
import org.jackdawbeam.model.target.EngineLoad;

/** Status of an entry for operators. */
public record StatusReport(
        String host,
        long incarnation,
        String zone,
        long version,
        long epoch,
        long settledEpoch,
        boolean lease,
        boolean placementDuty,
        double share,
        long logOffset,
        int pendingAppends,
        int openRequests,
        List<String> obstacles,
        Map<String, Double> balances,
        List<MemberStatus> members,
        List<TargetStatus> targets) {

    /** Status of a member of the current epoch. */
    public record MemberStatus(String host, long incarnation, String zone, String url, boolean alive) {}

    /** Status of a target. */
    public record TargetStatus(
            String name,
            String zone,
            boolean reporting,
            boolean leaving,
            boolean suspended,
            int outstanding,
            List<String> models,
            List<String> adapters,
            long residentBytes) {}

    /** Returns the report for the given state. */
    public static StatusReport of(EntryState state, long nowMillis, EntryTimings timings) {
        Membership membership = state.membership();
        List<MemberStatus> members = membership.epoch().stream()
                .flatMap(epoch -> epoch.members().stream())
                .map(member -> new MemberStatus(
                        member.hostId(),
                        member.incarnation(),
                        member.zone(),
                        member.callerUrl(),
                        membership.isAlive(member, nowMillis, timings.memberDeadMillis())))
                .toList();
        List<TargetStatus> targets = state.targets().values().stream()
                .map(target -> targetStatus(target, nowMillis))
                .sorted(Comparator.comparing(TargetStatus::name))
                .toList();
        return new StatusReport(
                membership.self().hostId(),
                membership.self().incarnation(),
                membership.self().zone(),
                state.log().folded().version(),
                membership.epochNumber(),
                membership.settledEpoch(),
                membership.holdsLease(nowMillis, timings),
                membership.holdsPlacementDuty(nowMillis, timings),
                state.limits().share(),
                state.log().folded().nextOffset(),
                state.log().pending().size(),
                state.requests().byId().size(),
                Readiness.obstacles(state, nowMillis, timings),
                state.limits().balances(),
                members,
                targets);
    }

    private static TargetStatus targetStatus(TargetState target, long nowMillis) {
        return new TargetStatus(
                target.name(),
                target.specification().zone(),
                target.load().isPresent(),
                target.isLeaving(),
                nowMillis < target.suspendedUntilMillis(),
                target.outstanding().size(),
                target.load().map(EngineLoad::models).orElse(List.of()),
                target.load().map(EngineLoad::adapters).orElse(List.of()),
                target.load().map(EngineLoad::residentBytes).orElse(0L));
    }
}
