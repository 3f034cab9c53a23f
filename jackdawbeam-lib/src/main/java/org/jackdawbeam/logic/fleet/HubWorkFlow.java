package org.jackdawbeam.logic.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.jackdawbeam.model.fleet.FleetMessage.TargetWork;
import org.jackdawbeam.model.fleet.FleetMessage.WorkChange;
import org.jackdawbeam.model.fleet.FleetMessage.WorkScope;

/**
 * Passes changes of the load of targets through the hubs between two heartbeats. An engine reads several prompts in the
 * time of a heartbeat, so entries that choose by the load of the latest one choose the same engine one after another.
 */
final class HubWorkFlow {

    /** Tells the hub, or the entries and hubs that this one serves, which targets' load has changed, if that is due. */
    FleetState tell(FleetState state, long nowMillis, List<FleetEffect> effects) {
        if (FleetTimings.isFullMesh(state.memberCount())) {
            return state;
        }
        FleetState told = tellHub(state, nowMillis, effects);
        return HubFlow.isHub(told) ? forward(told, nowMillis, effects) : told;
    }

    FleetState onChange(FleetState state, WorkChange change, long nowMillis, List<FleetEffect> effects) {
        HubState hub = state.hub();
        HubState changed = switch (change.scope()) {
            case ENTRY -> hub.withWorkOfEntry(change.sender(), known -> withChanges(known, change.changed()));
            case GROUP -> hub.withWorkOfGroup(change.sender(), known -> withChanges(known, change.changed()));
            case FLEET ->
                hub.id().equals(Optional.of(change.sender()))
                        ? hub.withFleetWork(withChanges(hub.fleetWork(), change.changed()))
                        : hub;
        };
        FleetState next = state.with(changed);
        return HubFlow.isHub(next) ? forward(next, nowMillis, effects) : next;
    }

    private static FleetState tellHub(FleetState state, long nowMillis, List<FleetEffect> effects) {
        Optional<FleetPeer> hub = state.hub().id().map(id -> state.peers().get(id));
        boolean due = nowMillis - state.sent().noticeAtMillis() >= FleetTimings.WORK_CHANGE_INTERVAL;
        if (hub.isEmpty() || !due || !state.sent().mayDiffer(state.targets())) {
            return state;
        }
        List<TargetWork> work = PeerFlow.work(state);
        List<TargetWork> changed = changes(byTarget(state.sent().work()), byTarget(work));
        if (changed.isEmpty()) {
            return state.with(state.sent().withSame(state.targets()));
        }
        send(state, Stream.of(hub.get().member().peerAddress()), WorkScope.ENTRY, changed, effects);
        return state.with(new SentWork(state.sent().digestAtMillis(), nowMillis, work, state.targets()));
    }

    /** Sends the sums that have changed since the latest message: of the group to other hubs, of all to the group. */
    private static FleetState forward(FleetState state, long nowMillis, List<FleetEffect> effects) {
        HubState hub = state.hub();
        HubState.Published published = hub.published();
        if (nowMillis - published.workAtMillis() < FleetTimings.WORK_CHANGE_INTERVAL) {
            return state;
        }
        List<TargetWork> group = sum(Stream.concat(
                PeerFlow.work(state).stream(),
                hub.group().values().stream().flatMap(digest -> digest.message().work().stream())));
        Map<String, TargetWork> groupWork = byTarget(group);
        Map<String, TargetWork> fleetWork = byTarget(sum(Stream.concat(
                group.stream(), hub.groups().values().stream().flatMap(digest -> digest.message().work().stream()))));
        List<TargetWork> changedOfGroup = changes(published.groupWork(), groupWork);
        List<TargetWork> changedOfFleet = changes(published.fleetWork(), fleetWork);
        if (changedOfGroup.isEmpty() && changedOfFleet.isEmpty()) {
            return state;
        }
        Stream<String> hubs = hub.groups().keySet().stream()
                .flatMap(id -> Optional.ofNullable(state.peers().get(id)).stream())
                .map(peer -> peer.member().peerAddress());
        send(state, hubs, WorkScope.GROUP, changedOfGroup, effects);
        Stream<String> entries = hub.group().values().stream()
                .map(digest -> digest.message().member().peerAddress());
        send(state, entries, WorkScope.FLEET, changedOfFleet, effects);
        HubState sent = hub.withPublished(published.withWork(groupWork, fleetWork, nowMillis));
        boolean reportsToItself = hub.id().equals(Optional.of(state.self().id()));
        return state.with(reportsToItself ? sent.withFleetWork(fleetWork) : sent);
    }

    private static void send(
            FleetState state,
            Stream<String> addresses,
            WorkScope scope,
            List<TargetWork> changed,
            List<FleetEffect> effects) {
        if (changed.isEmpty()) {
            return;
        }
        WorkChange change = new WorkChange(state.self().id(), scope, changed);
        addresses.forEach(address -> effects.add(new FleetEffect.SendPeerMessage(address, change)));
    }

    /** Returns the load by target, without adapters. */
    static Map<String, TargetWork> byTarget(List<TargetWork> work) {
        Map<String, TargetWork> byTarget = new HashMap<>();
        work.forEach(item -> byTarget.put(item.target(), item.withoutAdapters()));
        return Map.copyOf(byTarget);
    }

    /** Returns the sum of the load by target. */
    static List<TargetWork> sum(Stream<TargetWork> work) {
        Map<String, TargetWork> sum = new HashMap<>();
        work.forEach(item -> sum.merge(item.target(), item, TargetWork::plus));
        return List.copyOf(sum.values());
    }

    /**
     * Returns the targets whose unread prompts have changed, and those without requests. The number of running requests
     * matters little to the choice of a target, so that it alone is left to the next heartbeat.
     */
    private static List<TargetWork> changes(Map<String, TargetWork> before, Map<String, TargetWork> after) {
        Set<String> targets = new HashSet<>(before.keySet());
        targets.addAll(after.keySet());
        List<TargetWork> changed = new ArrayList<>();
        for (String target : targets) {
            TargetWork now = after.getOrDefault(target, new TargetWork(target, 0, 0, Set.of()));
            TargetWork told = before.getOrDefault(target, new TargetWork(target, 0, 0, Set.of()));
            if (now.unreadTokens() != told.unreadTokens()) {
                changed.add(now);
            }
        }
        return List.copyOf(changed);
    }

    /** Returns the load by target after changes. */
    private static Map<String, TargetWork> withChanges(Map<String, TargetWork> known, List<TargetWork> changed) {
        Map<String, TargetWork> work = new HashMap<>(known);
        for (TargetWork item : changed) {
            if (item.running() == 0) {
                work.remove(item.target());
            } else {
                work.put(item.target(), item.withoutAdapters());
            }
        }
        return Collections.unmodifiableMap(work);
    }

    /** Returns the load after changes; a target keeps the adapters that the latest heartbeat named. */
    private static List<TargetWork> withChanges(List<TargetWork> known, List<TargetWork> changed) {
        Map<String, TargetWork> work = new LinkedHashMap<>();
        known.forEach(item -> work.put(item.target(), item));
        for (TargetWork item : changed) {
            Set<String> adapters =
                    work.containsKey(item.target()) ? work.get(item.target()).adapters() : Set.<String>of();
            work.put(item.target(), new TargetWork(item.target(), item.running(), item.unreadTokens(), adapters));
        }
        work.values().removeIf(item -> item.running() == 0);
        return List.copyOf(work.values());
    }
}
