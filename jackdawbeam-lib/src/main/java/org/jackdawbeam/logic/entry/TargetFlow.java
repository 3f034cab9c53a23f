package org.jackdawbeam.logic.entry;

import java.util.List;
import java.util.Optional;
import org.jackdawbeam.logic.target.HostList;
import org.jackdawbeam.logic.target.PrefixIndex;
import org.jackdawbeam.logic.target.TargetState;
import org.jackdawbeam.model.bundle.Bundle;
import org.jackdawbeam.model.bundle.TargetKind;
import org.jackdawbeam.model.bundle.TargetSpecification;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/** Updates the state of targets from the bundle, load reports, cache announcements and the host list. */
final class TargetFlow {
    private static final long HOST_LIST_INTERVAL_MILLIS = 1_000;
    private static final long REPORT_TIMEOUT_MILLIS = 1_000;

    private final EntryOptions options;
    private final DispatchFlow dispatch;

    TargetFlow(EntryOptions options, DispatchFlow dispatch) {
        this.options = options;
        this.dispatch = dispatch;
    }

    Transition tick(EntryState state, long nowMillis) {
        boolean loadDue = state.loadPollAtMillis() + options.timings().loadPollMillis() <= nowMillis;
        boolean listDue = state.hostList().polledAtMillis() + HOST_LIST_INTERVAL_MILLIS <= nowMillis;
        Transition next = Transition.to(state);
        if (loadDue) {
            next = next.map(current -> current.withLoadPollAt(nowMillis)).withAll(loadPolls(state));
        }
        if (listDue) {
            next = next.map(current -> current.withHostList(current.hostList().polled(nowMillis)))
                    .with(new Effect.PollHostList());
        }
        return next;
    }

    /** Adds the targets that are new in the bundle and removes those that it no longer contains. */
    Transition syncWithBundle(EntryState state) {
        Optional<Bundle> bundle = state.log().folded().bundle();
        if (bundle.isEmpty()) {
            return Transition.to(state);
        }
        PMap<String, TargetState> targets = TreePMap.empty();
        for (TargetSpecification specification : bundle.get().targets()) {
            TargetState known = state.targets().get(specification.name());
            boolean same = known != null && known.specification().equals(specification);
            TargetState next = known == null ? TargetState.unknown(specification) : known;
            targets = targets.plus(specification.name(), same ? known : next.withSpecification(specification));
        }
        return Transition.to(applyHostList(state.withTargets(targets)));
    }

    Transition onLoad(EntryState state, Event.LoadReported event) {
        TargetState target = state.targets().get(event.target());
        boolean outdated = target != null && event.askedAtMillis() < target.loadRequestedAtMillis();
        if (target == null || outdated) {
            return Transition.to(state);
        }
        TargetState reported = target.reported(event.load(), event.askedAtMillis());
        return dispatch.drainAll(state.withTarget(reported), event.nowMillis());
    }

    Transition onLoadUnavailable(EntryState state, Event.LoadUnavailable event) {
        TargetState target = state.targets().get(event.target());
        boolean lost = target != null && event.nowMillis() - target.loadRequestedAtMillis() > REPORT_TIMEOUT_MILLIS;
        return Transition.to(lost ? state.withTarget(target.withoutLoadReport()) : state);
    }

    Transition onCacheAnnounced(EntryState state, Event.CacheAnnounced event) {
        TargetState target = state.targets().get(event.target());
        if (target == null) {
            return Transition.to(state);
        }
        PrefixIndex index =
                target.prefixes().withSeen(event.added(), event.nowMillis()).withDropped(event.dropped());
        return Transition.to(state.withTarget(target.withPrefixes(index)));
    }

    Transition onHostList(EntryState state, Event.HostListRead event) {
        HostList list = state.hostList().answered(HashTreePSet.from(event.leavingTargets()), event.askedAtMillis());
        return dispatch.drainAll(applyHostList(state.withHostList(list)), event.nowMillis());
    }

    private static EntryState applyHostList(EntryState state) {
        EntryState next = state;
        for (TargetState target : state.targets().values()) {
            boolean leaving = state.hostList().leaving().contains(target.name());
            next = leaving == target.leaving() ? next : next.withTarget(target.withLeaving(leaving));
        }
        return next;
    }

    private static List<Effect> loadPolls(EntryState state) {
        return state.targets().values().stream()
                .map(TargetState::specification)
                .filter(target -> target.kind() == TargetKind.ENGINE)
                .map(target -> (Effect) new Effect.PollLoad(target))
                .toList();
    }
}
