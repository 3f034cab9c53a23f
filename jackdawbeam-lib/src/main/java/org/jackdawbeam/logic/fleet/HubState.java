package org.jackdawbeam.logic.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.jackdawbeam.model.fleet.FleetMessage.Digest;
import org.jackdawbeam.model.fleet.FleetMessage.GroupDigest;
import org.jackdawbeam.model.fleet.FleetMessage.MemberStatus;
import org.jackdawbeam.model.fleet.FleetMessage.ModelDemand;
import org.jackdawbeam.model.fleet.FleetMessage.TargetWork;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * State of the hub topology, used in a fleet that is too large for a full mesh: entries report to a hub in their zone,
 * and hubs report to each other.
 *
 * @param id the hub that this entry reports to, possibly itself
 * @param sinceMillis when this entry chose that hub
 * @param heardAtMillis when the latest message of that hub, or of a former one, arrived
 * @param excludedUntil unresponsive hubs and the times until which they are excluded from selection
 * @param group latest heartbeats of the entries that report to this one
 * @param groups latest digests of other hubs
 * @param fleetWork load of all entries by target, as reported by the hub
 * @param fleetDemand demand of all entries, if this entry is the placement leader
 * @param behind whether another entry has confirmed a later configuration offset than this entry has read
 * @param published what this entry has published to its group, if it is a hub
 * @param groupAtConfigurationRead the heartbeats of the group when the latest configuration read was sent
 */
public record HubState(
        Optional<String> id,
        long sinceMillis,
        long heardAtMillis,
        PMap<String, Long> excludedUntil,
        PMap<String, Received<Digest>> group,
        PMap<String, Received<GroupDigest>> groups,
        Map<String, TargetWork> fleetWork,
        List<ModelDemand> fleetDemand,
        boolean behind,
        Published published,
        PMap<String, Received<Digest>> groupAtConfigurationRead) {

    /**
     * What a hub has published to the entries that report to it.
     *
     * @param statuses member statuses as last published
     * @param receivers ids of the entries that received them
     * @param fullAtMillis when the full member list was last published
     * @param allTargetsAtMillis when a read of the target list was last relayed without filtering
     * @param groupWork load of the group by target, as last sent to other hubs
     * @param fleetWork load of all entries by target, as last sent to the group
     * @param workAtMillis when these were sent
     */
    record Published(
            Map<String, MemberStatus> statuses,
            Set<String> receivers,
            long fullAtMillis,
            long allTargetsAtMillis,
            Map<String, TargetWork> groupWork,
            Map<String, TargetWork> fleetWork,
            long workAtMillis) {
        static Published none() {
            return new Published(Map.of(), Set.of(), 0, 0, Map.of(), Map.of(), 0);
        }

        Published withAllTargetsAt(long nowMillis) {
            return new Published(statuses, receivers, fullAtMillis, nowMillis, groupWork, fleetWork, workAtMillis);
        }

        Published withMembers(Map<String, MemberStatus> told, Set<String> toldTo, long fullAt) {
            return new Published(told, toldTo, fullAt, allTargetsAtMillis, groupWork, fleetWork, workAtMillis);
        }

        Published withWork(Map<String, TargetWork> ofGroup, Map<String, TargetWork> ofFleet, long nowMillis) {
            return new Published(statuses, receivers, fullAtMillis, allTargetsAtMillis, ofGroup, ofFleet, nowMillis);
        }
    }

    /** A message and its time of arrival. */
    record Received<M>(M message, long atMillis) {}

    static HubState none() {
        return new HubState(
                Optional.empty(),
                0,
                0,
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                Map.of(),
                List.of(),
                false,
                Published.none(),
                HashTreePMap.empty());
    }

    HubState withHub(String hub, long nowMillis) {
        return new HubState(
                Optional.of(hub),
                nowMillis,
                heardAtMillis,
                excludedUntil,
                group,
                groups,
                fleetWork,
                fleetDemand,
                behind,
                published,
                groupAtConfigurationRead);
    }

    HubState withExcludedHub(String hub, long untilMillis) {
        return new HubState(
                Optional.empty(),
                sinceMillis,
                heardAtMillis,
                excludedUntil.plus(hub, untilMillis),
                group,
                groups,
                fleetWork,
                fleetDemand,
                behind,
                published,
                groupAtConfigurationRead);
    }

    HubState withHeardAt(long nowMillis) {
        return new HubState(
                id,
                sinceMillis,
                nowMillis,
                excludedUntil,
                group,
                groups,
                fleetWork,
                fleetDemand,
                behind,
                published,
                groupAtConfigurationRead);
    }

    HubState with(Digest digest, long nowMillis) {
        return new HubState(
                id,
                sinceMillis,
                heardAtMillis,
                excludedUntil,
                group.plus(digest.sender(), new Received<>(digest, nowMillis)),
                groups,
                fleetWork,
                fleetDemand,
                behind,
                published,
                groupAtConfigurationRead);
    }

    HubState with(GroupDigest digest, long nowMillis) {
        return new HubState(
                id,
                sinceMillis,
                heardAtMillis,
                excludedUntil,
                group,
                groups.plus(digest.sender(), new Received<>(digest, nowMillis)),
                fleetWork,
                fleetDemand,
                behind,
                published,
                groupAtConfigurationRead);
    }

    HubState withFleetLoad(Map<String, TargetWork> work, List<ModelDemand> demand) {
        return new HubState(
                id,
                sinceMillis,
                heardAtMillis,
                excludedUntil,
                group,
                groups,
                work,
                demand,
                behind,
                published,
                groupAtConfigurationRead);
    }

    HubState withFleetWork(Map<String, TargetWork> work) {
        return withFleetLoad(work, fleetDemand);
    }

    /** Returns the state after an entry of the group has told its load without a heartbeat; its silence is not over. */
    HubState withWorkOfEntry(String entry, UnaryOperator<List<TargetWork>> change) {
        Received<Digest> known = group.get(entry);
        return known == null
                ? this
                : new HubState(
                        id,
                        sinceMillis,
                        heardAtMillis,
                        excludedUntil,
                        group.plus(
                                entry,
                                new Received<>(
                                        known.message()
                                                .withWork(change.apply(
                                                        known.message().work())),
                                        known.atMillis())),
                        groups,
                        fleetWork,
                        fleetDemand,
                        behind,
                        published,
                        groupAtConfigurationRead);
    }

    /** Returns the state after another hub has told the load of its group without a heartbeat. */
    HubState withWorkOfGroup(String hub, UnaryOperator<List<TargetWork>> change) {
        Received<GroupDigest> known = groups.get(hub);
        return known == null
                ? this
                : new HubState(
                        id,
                        sinceMillis,
                        heardAtMillis,
                        excludedUntil,
                        group,
                        groups.plus(
                                hub,
                                new Received<>(
                                        known.message()
                                                .withWork(change.apply(
                                                        known.message().work())),
                                        known.atMillis())),
                        fleetWork,
                        fleetDemand,
                        behind,
                        published,
                        groupAtConfigurationRead);
    }

    HubState withBehind(boolean value) {
        return new HubState(
                id,
                sinceMillis,
                heardAtMillis,
                excludedUntil,
                group,
                groups,
                fleetWork,
                fleetDemand,
                value,
                published,
                groupAtConfigurationRead);
    }

    /** Returns the state with a snapshot of the group's heartbeats, to be confirmed when the read completes. */
    HubState withConfigurationReadStarted() {
        return new HubState(
                id,
                sinceMillis,
                heardAtMillis,
                excludedUntil,
                group,
                groups,
                fleetWork,
                fleetDemand,
                behind,
                published,
                group);
    }

    HubState withPublished(Published changed) {
        return new HubState(
                id,
                sinceMillis,
                heardAtMillis,
                excludedUntil,
                group,
                groups,
                fleetWork,
                fleetDemand,
                behind,
                changed,
                groupAtConfigurationRead);
    }

    /** Returns the state without entries and hubs whose latest message arrived before the given time. */
    HubState withoutSilent(long earliestMillis) {
        PMap<String, Received<Digest>> freshGroup = group;
        for (Map.Entry<String, Received<Digest>> entry : group.entrySet()) {
            freshGroup = entry.getValue().atMillis() < earliestMillis ? freshGroup.minus(entry.getKey()) : freshGroup;
        }
        PMap<String, Received<GroupDigest>> freshGroups = groups;
        for (Map.Entry<String, Received<GroupDigest>> entry : groups.entrySet()) {
            freshGroups =
                    entry.getValue().atMillis() < earliestMillis ? freshGroups.minus(entry.getKey()) : freshGroups;
        }
        return new HubState(
                id,
                sinceMillis,
                heardAtMillis,
                excludedUntil,
                freshGroup,
                freshGroups,
                fleetWork,
                fleetDemand,
                behind,
                published,
                groupAtConfigurationRead);
    }
}
