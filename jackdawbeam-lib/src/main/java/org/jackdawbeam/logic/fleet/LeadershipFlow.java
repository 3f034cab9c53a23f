package org.jackdawbeam.logic.fleet;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.jackdawbeam.model.fleet.FleetMessage.LeadershipClaim;

/**
 * Elects the placement leader through a lease. The leader appends to the leadership log at short intervals, on
 * condition that no other entry has appended since. The lease starts when the latest successful append was sent.
 * Another entry takes over only after it has seen no new record for the duration of the lease and the gap that engines
 * require between two leaders. The log calls the leadership the placement duty.
 */
final class LeadershipFlow {
    private static final long RENEWAL_MILLIS = 400; // allows two failed renewals within a lease
    private static final long LEASE_MILLIS = 1_300;
    private static final long CLOCK_MARGIN_MILLIS = 250; // clock drift and network delay to an engine
    private static final long RANK_DELAY_MILLIS = 120; // staggers candidates that would race for the same offset
    private static final long RETRY_DELAY_MILLIS = 250;

    FleetState tick(FleetState state, long nowMillis, List<FleetEffect> effects) {
        Leadership leadership = state.leadership();
        boolean candidate = state.stop() instanceof StopStage.Serving;
        if (leadership.callPending() || nowMillis < leadership.nextCallAtMillis() || !candidate) {
            return expire(state, nowMillis, effects);
        }
        if (leadership.observedEnd().isEmpty()) {
            effects.add(new FleetEffect.ReadLeadership(0));
            return state.with(leadership.withCallPending(true));
        }
        if (leadership.fencingToken().isPresent()) {
            return renew(expire(state, nowMillis, effects), nowMillis, effects);
        }
        // An empty log does not prove that there was no leader if the store may have lost records.
        boolean newFleet = leadership.observedEnd().getAsLong() == 0
                && state.storeEra().number().isEmpty();
        long waitMillis = newFleet ? 0 : LEASE_MILLIS + gapMillis(state) + CLOCK_MARGIN_MILLIS;
        long silentMillis = nowMillis - leadership.observedAtMillis();
        boolean due = silentMillis >= waitMillis
                && silentMillis >= waitMillis + RANK_DELAY_MILLIS * PeerFlow.rank(state, nowMillis);
        boolean configured = state.configuration().isPresent();
        return due && configured ? append(state, effects) : state;
    }

    FleetState onAppended(FleetState state, FleetEvent.LeadershipAppended event, List<FleetEffect> effects) {
        long nowMillis = event.nowMillis();
        Leadership leadership = state.leadership().withCallPending(false);
        return switch (event.result()) {
            case FleetEvent.AppendResult.Appended appended -> {
                long token = leadership.fencingToken().orElse(state.storeEra().fencingToken(appended.offset()));
                if (leadership.fencingToken().isEmpty()) {
                    effects.add(FleetEffect.Note.of("placement_duty_taken", "fencing_token", token));
                }
                FleetState held = state.with(
                        leadership.withLease(token, appended.offset() + 1, event.askedAtMillis(), nowMillis));
                yield leadership.fencingToken().isEmpty() ? held.with(PlacementState.forNewLeader(nowMillis)) : held;
            }
            case FleetEvent.AppendResult.Conflict conflict
            when leadership.fencingToken().isPresent() -> {
                effects.add(
                        new FleetEffect.ReadLeadership(leadership.observedEnd().orElse(0)));
                yield state.with(leadership.withCallPending(true).withUncertain(true));
            }
            case FleetEvent.AppendResult.Conflict conflict ->
                state.with(leadership.withObservedEnd(conflict.endOffset(), nowMillis));
            case FleetEvent.AppendResult.Unknown unknown ->
                state.with(leadership.withUncertain(true).withNextCallAt(nowMillis + RETRY_DELAY_MILLIS));
        };
    }

    /** Records of this incarnation are own appends whose answers were lost; any other record ends the lease. */
    FleetState onRead(FleetState state, FleetEvent.LeadershipRead event, List<FleetEffect> effects) {
        Leadership leadership = state.leadership().withCallPending(false);
        boolean own = event.holders().stream().allMatch(state.self().incarnation()::equals);
        if (leadership.fencingToken().isPresent() && own) {
            return state.with(leadership.withLease(
                    leadership.fencingToken().getAsLong(),
                    event.endOffset(),
                    leadership.renewedAtMillis(),
                    event.nowMillis()));
        }
        if (leadership.fencingToken().isPresent()) {
            effects.add(FleetEffect.Note.of(
                    "placement_duty_lost", "reason", "superseded by another leader", "holders", event.holders()));
        }
        return state.with(leadership.withObservedEnd(event.endOffset(), event.nowMillis()));
    }

    FleetState onUnreadable(FleetState state, FleetEvent.LeadershipUnreadable event) {
        return state.with(
                state.leadership().withCallPending(false).withNextCallAt(event.nowMillis() + RETRY_DELAY_MILLIS));
    }

    /** Updates the observed end of the log from another leader's claim, which saves a read of the log. */
    FleetState onClaim(FleetState state, long nowMillis, LeadershipClaim claim, List<FleetEffect> effects) {
        Leadership leadership = state.leadership();
        boolean newer =
                leadership.observedEnd().isEmpty() || leadership.observedEnd().getAsLong() < claim.endOffset();
        if (!newer || !state.storeEra().issued(claim.fencingToken())) {
            return state;
        }
        if (leadership.fencingToken().isPresent()) {
            effects.add(FleetEffect.Note.of(
                    "placement_duty_lost",
                    "reason",
                    "claimed by another leader",
                    "fencing_token",
                    claim.fencingToken()));
        }
        return state.with(leadership.withObservedEnd(claim.endOffset(), nowMillis));
    }

    /** Resigns as leader; the successor still waits for the required gap between two leaders. */
    static FleetState resign(FleetState state, String reason, List<FleetEffect> effects) {
        if (state.leadership().fencingToken().isEmpty()) {
            return state;
        }
        effects.add(FleetEffect.Note.of("placement_duty_lost", "reason", reason));
        Leadership leadership = state.leadership();
        return state.with(new Leadership(
                leadership.observedEnd(),
                leadership.observedAtMillis(),
                OptionalLong.empty(),
                0,
                leadership.callPending(),
                leadership.nextCallAtMillis(),
                false));
    }

    static boolean isLeader(FleetState state, long nowMillis) {
        return state.leadership().isLeaseValid(nowMillis, LEASE_MILLIS);
    }

    /** Returns when the lease of this entry ends unless it is renewed. */
    static long leaseEndMillis(FleetState state) {
        return state.leadership().renewedAtMillis() + LEASE_MILLIS;
    }

    static Optional<LeadershipClaim> claim(FleetState state, long nowMillis) {
        return isLeader(state, nowMillis)
                ? Optional.of(new LeadershipClaim(
                        state.leadership().fencingToken().getAsLong(),
                        state.leadership().observedEnd().getAsLong()))
                : Optional.empty();
    }

    /** Returns the peer that is the leader according to its latest heartbeat. */
    static Optional<FleetPeer> leader(FleetState state, long nowMillis) {
        long timeoutMillis = FleetTimings.peerTimeoutMillis(state.memberCount());
        return state.peers().values().stream()
                .filter(peer -> peer.isAlive(nowMillis, timeoutMillis))
                .filter(peer -> peer.leadership().isPresent())
                .findFirst();
    }

    private static FleetState renew(FleetState state, long nowMillis, List<FleetEffect> effects) {
        Leadership leadership = state.leadership();
        boolean due = leadership.uncertain() || nowMillis - leadership.renewedAtMillis() >= RENEWAL_MILLIS;
        return leadership.fencingToken().isPresent() && due ? append(state, effects) : state;
    }

    private static FleetState append(FleetState state, List<FleetEffect> effects) {
        Leadership leadership = state.leadership();
        effects.add(new FleetEffect.AppendLeadership(
                state.self().incarnation(), leadership.observedEnd().getAsLong()));
        return state.with(leadership.withCallPending(true));
    }

    private static FleetState expire(FleetState state, long nowMillis, List<FleetEffect> effects) {
        Leadership leadership = state.leadership();
        if (leadership.fencingToken().isEmpty() || isLeader(state, nowMillis)) {
            return state;
        }
        effects.add(FleetEffect.Note.of(
                "placement_duty_lost",
                "reason",
                "lease expired",
                "renewed_ago_ms",
                nowMillis - leadership.renewedAtMillis()));
        Leadership lost = new Leadership(
                leadership.observedEnd(),
                nowMillis,
                OptionalLong.empty(),
                0,
                leadership.callPending(),
                leadership.nextCallAtMillis(),
                false);
        return state.with(lost);
    }

    /** Returns the gap between two leaders; none if engines check tokens and reject orders of the previous leader. */
    private static long gapMillis(FleetState state) {
        return state.bounds().enginesCheckTokens() ? 0 : state.bounds().leadershipGapMillis();
    }
}
