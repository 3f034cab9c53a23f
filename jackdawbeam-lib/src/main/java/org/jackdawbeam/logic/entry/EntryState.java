package org.jackdawbeam.logic.entry;

import org.jackdawbeam.logic.limit.Limits;
import org.jackdawbeam.logic.membership.Membership;
import org.jackdawbeam.logic.request.Request;
import org.jackdawbeam.logic.request.Requests;
import org.jackdawbeam.logic.target.HostList;
import org.jackdawbeam.logic.target.TargetState;
import org.jackdawbeam.model.member.Member;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.TreePMap;

/**
 * The complete state of an entry. Instances are immutable and may be read by any thread.
 *
 * @param log local view of the platform log
 * @param pendingWithdrawals ids of withdrawn keys that are not in the folded log yet, with the time at which this entry
 *     learned of them
 * @param membership epochs, peers and the lease
 * @param limits token buckets for rate limiting
 * @param targets targets by name, sorted by name
 * @param requests requests in flight
 * @param placement state kept between placement decisions
 * @param stop phase of a planned stop
 * @param heartbeatAtMillis time of the last heartbeat sent
 * @param loadPollAtMillis time of the last poll of load reports
 * @param hostList host list of the platform
 */
public record EntryState(
        LogView log,
        PMap<String, Long> pendingWithdrawals,
        Membership membership,
        Limits limits,
        PMap<String, TargetState> targets,
        Requests requests,
        PlacementState placement,
        StopPhase stop,
        long heartbeatAtMillis,
        long loadPollAtMillis,
        HostList hostList) {
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    /** Returns the initial state of a process that has just started. */
    public static EntryState starting(Member self, long nowMillis) {
        return new EntryState(
                LogView.starting(nowMillis),
                HashTreePMap.empty(),
                Membership.starting(self),
                Limits.none(),
                TreePMap.empty(),
                Requests.none(),
                PlacementState.starting(nowMillis),
                new StopPhase.Serving(),
                NEVER_MILLIS,
                NEVER_MILLIS,
                HostList.unread());
    }

    /** Returns whether this entry accepts callers, that is, no planned stop has begun. */
    public boolean isServing() {
        return stop instanceof StopPhase.Serving;
    }

    /** Returns the ids of withdrawn keys whose withdrawal is not in the folded log yet. */
    public PSet<String> withdrawnNotLogged() {
        return HashTreePSet.from(pendingWithdrawals.keySet());
    }

    EntryState withLog(LogView value) {
        Builder builder = new Builder(this);
        builder.log = value;
        return builder.build();
    }

    EntryState withPendingWithdrawals(PMap<String, Long> value) {
        Builder builder = new Builder(this);
        builder.pendingWithdrawals = value;
        return builder.build();
    }

    EntryState withMembership(Membership value) {
        Builder builder = new Builder(this);
        builder.membership = value;
        return builder.build();
    }

    EntryState withLimits(Limits value) {
        Builder builder = new Builder(this);
        builder.limits = value;
        return builder.build();
    }

    EntryState withTargets(PMap<String, TargetState> value) {
        Builder builder = new Builder(this);
        builder.targets = value;
        return builder.build();
    }

    EntryState withTarget(TargetState value) {
        return withTargets(targets.plus(value.name(), value));
    }

    EntryState withRequests(Requests value) {
        Builder builder = new Builder(this);
        builder.requests = value;
        return builder.build();
    }

    EntryState withRequest(Request value) {
        return withRequests(requests.with(value));
    }

    EntryState withPlacement(PlacementState value) {
        Builder builder = new Builder(this);
        builder.placement = value;
        return builder.build();
    }

    EntryState withStop(StopPhase value) {
        Builder builder = new Builder(this);
        builder.stop = value;
        return builder.build();
    }

    EntryState withHeartbeatAt(long value) {
        Builder builder = new Builder(this);
        builder.heartbeatAtMillis = value;
        return builder.build();
    }

    EntryState withLoadPollAt(long value) {
        Builder builder = new Builder(this);
        builder.loadPollAtMillis = value;
        return builder.build();
    }

    EntryState withHostList(HostList value) {
        Builder builder = new Builder(this);
        builder.hostList = value;
        return builder.build();
    }

    /** Mutable copy from which the next state is built. */
    private static final class Builder {
        private LogView log;
        private PMap<String, Long> pendingWithdrawals;
        private Membership membership;
        private Limits limits;
        private PMap<String, TargetState> targets;
        private Requests requests;
        private PlacementState placement;
        private StopPhase stop;
        private long heartbeatAtMillis;
        private long loadPollAtMillis;
        private HostList hostList;

        Builder(EntryState source) {
            log = source.log;
            pendingWithdrawals = source.pendingWithdrawals;
            membership = source.membership;
            limits = source.limits;
            targets = source.targets;
            requests = source.requests;
            placement = source.placement;
            stop = source.stop;
            heartbeatAtMillis = source.heartbeatAtMillis;
            loadPollAtMillis = source.loadPollAtMillis;
            hostList = source.hostList;
        }

        EntryState build() {
            return new EntryState(
                    log,
                    pendingWithdrawals,
                    membership,
                    limits,
                    targets,
                    requests,
                    placement,
                    stop,
                    heartbeatAtMillis,
                    loadPollAtMillis,
                    hostList);
        }
    }
}
