package org.jackdawbeam.logic.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.FleetMessage.Bulletin;
import org.jackdawbeam.model.fleet.FleetMessage.Digest;
import org.jackdawbeam.model.fleet.FleetMessage.GroupDigest;
import org.jackdawbeam.model.fleet.FleetMessage.MemberStatus;
import org.jackdawbeam.model.fleet.FleetMessage.ModelDemand;
import org.jackdawbeam.model.fleet.FleetMessage.TargetWork;
import org.pcollections.PMap;

/**
 * Distributes membership, load and feed updates in a large fleet. Each entry reports to the hub of its zone, which is
 * the host with the fastest link; hubs exchange group digests and send bulletins to their entries. Only hubs read the
 * store's feeds. An entry that receives reports acts as a hub, so that no updates are lost while entries disagree on
 * the hub.
 */
final class HubFlow {
    private static final int HEARTBEATS_MISSED = 3;
    private static final long FULL_BULLETIN_INTERVAL_MILLIS = 3_000; // bounds how long a lost message can go unnoticed
    private static final long ALL_TARGETS_INTERVAL_MILLIS = 3_000; // as long as entries prefer residency to the list
    private static final int HUB_CANDIDATES_PER_ROUND = 2; // contacted in rotation in zones without a known hub

    private final FeedFlow feeds;
    private final LeadershipFlow leadership;

    HubFlow(FeedFlow feeds, LeadershipFlow leadership) {
        this.feeds = feeds;
        this.leadership = leadership;
    }

    FleetState tick(FleetState state, long nowMillis, List<FleetEffect> effects) {
        boolean due = nowMillis - state.sent().digestAtMillis() >= FleetTimings.GROUP_HEARTBEAT_INTERVAL;
        if (FleetTimings.isFullMesh(state.memberCount()) || !due) {
            return state;
        }
        FleetState next =
                chooseHub(state.with(state.hub().withoutSilent(nowMillis - hubTimeoutMillis())), nowMillis, effects);
        Digest digest = PeerFlow.digest(next, nowMillis);
        next = next.with(new SentWork(nowMillis, nowMillis, digest.work(), next.targets()));
        String hub = next.hub().id().orElse(state.self().id());
        if (!hub.equals(state.self().id())) {
            send(next, hub, digest, effects);
        }
        PeerFlow.removeLostMembers(next, nowMillis, effects);
        return isHub(next) ? publish(next, digest, nowMillis, effects) : next;
    }

    FleetState onDigest(FleetState state, Digest digest, long nowMillis) {
        return FleetTimings.isFullMesh(state.memberCount())
                ? state
                : state.with(state.hub().with(digest, nowMillis));
    }

    /** Stores the digest of another hub; forwards it to this entry's hub if the sender mistook this entry for a hub. */
    FleetState onGroupDigest(FleetState state, GroupDigest digest, long nowMillis, List<FleetEffect> effects) {
        if (isHub(state)) {
            return state.with(state.hub().with(digest, nowMillis));
        }
        state.hub()
                .id()
                .filter(hub -> !hub.equals(digest.sender()))
                .ifPresent(hub -> send(state, hub, digest, effects));
        return state;
    }

    FleetState onBulletin(FleetState state, Bulletin bulletin, long nowMillis, List<FleetEffect> effects) {
        if (!state.hub().id().equals(Optional.of(bulletin.sender()))) {
            return state;
        }
        return merge(state.with(state.hub().withHeardAt(nowMillis)), bulletin, nowMillis, effects);
    }

    /** Applies feed entries relayed by the hub. If entries before them are missing, schedules a read from the store. */
    FleetState onFeedNews(FleetState state, FleetMessage.FeedNews update, long nowMillis, List<FleetEffect> effects) {
        if (!update.storeEra().equals(state.storeEra().number())) {
            return state;
        }
        FeedState feed = state.feed(update.feed());
        boolean gap = feed.nextOffset().isEmpty() || feed.nextOffset().getAsLong() < update.fromOffset();
        if (gap) {
            return state.with(update.feed(), feed.dueNow());
        }
        FleetState next = state.with(update.feed(), feed.advancedTo(update.nextOffset()));
        return feeds.applyAll(next, update.entries(), nowMillis, effects);
    }

    FleetState onConfigurationEnd(FleetState state, FleetMessage.ConfigurationEnd end) {
        boolean sameEra = end.storeEra().equals(state.storeEra().number());
        if (!end.incarnation().equals(state.self().incarnation()) || !sameEra) {
            return state;
        }
        FeedState feed = state.feed(Feed.CONFIGURATION);
        boolean complete = feed.nextOffset().isPresent() && feed.nextOffset().getAsLong() >= end.nextOffset();
        return complete
                ? state.with(Feed.CONFIGURATION, feed.confirmed(end.stampMillis()))
                : state.with(state.hub().withBehind(true));
    }

    /**
     * Confirms a configuration read to peers, and relays other feeds to the group if this entry is a hub. Targets renew
     * their registration continuously, so unchanged ones are relayed only every {@link #ALL_TARGETS_INTERVAL_MILLIS}.
     *
     * @param before the state before the read was applied
     * @param after the state after the read was applied
     */
    FleetState relay(
            FleetState before, FleetState after, FleetEvent.FeedRead read, long fromOffset, List<FleetEffect> effects) {
        boolean mesh = FleetTimings.isFullMesh(after.memberCount());
        boolean confirmsReads = mesh || isHub(after);
        if (read.feed() == Feed.CONFIGURATION
                && confirmsReads
                && !after.storeEra().configurationBehind()) {
            if (mesh) {
                FreshnessFlow.confirmAll(after, read, effects);
            } else {
                FreshnessFlow.confirmGroup(after, read, effects);
            }
        }
        if (mesh || !confirmsReads || read.feed() == Feed.CONFIGURATION || read.feed() == Feed.QUARANTINE) {
            return after;
        }
        if (read.newest() || read.entries().isEmpty()) {
            return after;
        }
        boolean unfiltered = read.feed() == Feed.MEMBERS
                || read.nowMillis() - after.hub().published().allTargetsAtMillis() >= ALL_TARGETS_INTERVAL_MILLIS;
        List<FeedEntry> entries = unfiltered
                ? read.entries()
                : read.entries().stream()
                        .filter(entry -> hasChanged(before, entry))
                        .toList();
        sendToGroup(
                after,
                new FleetMessage.FeedNews(
                        after.self().id(),
                        read.feed(),
                        after.storeEra().number(),
                        fromOffset,
                        entries,
                        read.nextOffset()),
                effects);
        boolean allTargets = unfiltered && read.feed() == Feed.TARGETS;
        return allTargets
                ? after.with(after.hub().withPublished(after.hub().published().withAllTargetsAt(read.nowMillis())))
                : after;
    }

    private static boolean hasChanged(FleetState before, FeedEntry entry) {
        if (!(entry instanceof FeedEntry.Target target)) {
            return true;
        }
        FleetTarget known = before.targets().get(target.description().id());
        return known == null
                || known.goneAtMillis().isPresent()
                || !known.description().equalsIgnoringOrderCount(target.description());
    }

    /** Returns whether this entry has to read a feed from the store itself. */
    static boolean readsDirectly(FleetState state, Feed feed, long nowMillis) {
        FeedState progress = state.feed(feed);
        boolean firstRead =
                progress.nextOffset().isEmpty() || progress.freshAtMillis().isEmpty();
        if (firstRead || feed == Feed.QUARANTINE) {
            return firstRead;
        }
        if (FleetTimings.isFullMesh(state.memberCount())) {
            return feed == Feed.TARGETS
                    || feed == Feed.MEMBERS
                    || feed == Feed.CONFIGURATION && FreshnessFlow.readsDirectly(state, nowMillis);
        }
        if (isHub(state)) {
            return true;
        }
        boolean hubIsSilent = nowMillis - state.hub().heardAtMillis() > hubTimeoutMillis();
        return switch (feed) {
            case CONFIGURATION -> {
                long age = hubIsSilent ? FleetTimings.READ_AGE_WITHOUT_HUB : FleetTimings.DIRECT_READ_AGE;
                yield state.hub().behind() || !progress.isFresh(nowMillis, age);
            }
            case QUARANTINE -> false;
            case TARGETS -> hubIsSilent && !progress.isFresh(nowMillis, FleetTimings.READ_AGE_WITHOUT_HUB);
            case MEMBERS -> hubIsSilent && !progress.isFresh(nowMillis, FleetTimings.DIRECT_READ_AGE);
        };
    }

    /** Returns whether other entries report to this one, or it is its own hub. */
    static boolean isHub(FleetState state) {
        return state.hub().id().equals(Optional.of(state.self().id()))
                || !state.hub().group().isEmpty();
    }

    private static FleetState chooseHub(FleetState state, long nowMillis, List<FleetEffect> effects) {
        HubState hub = state.hub();
        boolean silent = hub.id().isPresent()
                && !hub.id().get().equals(state.self().id())
                && nowMillis - Math.max(hub.heardAtMillis(), hub.sinceMillis()) > hubTimeoutMillis();
        FleetState next = silent
                ? state.with(hub.withExcludedHub(hub.id().get(), nowMillis + FleetTimings.HUB_EXCLUSION))
                : state;
        String best =
                candidates(next, state.self().zone(), nowMillis).getFirst().id();
        if (next.hub().id().equals(Optional.of(best))) {
            return next;
        }
        effects.add(FleetEffect.Note.of(
                "hub_chosen", "hub", best, "previous", hub.id().orElse("none"), "previous_silent", silent));
        return next.with(next.hub().withHub(best, nowMillis));
    }

    /** Returns the hub candidates of a zone by descending link speed, without recently unresponsive hubs. */
    private static List<FleetMember> candidates(FleetState state, String zone, long nowMillis) {
        boolean own = zone.equals(state.self().zone());
        Stream<FleetMember> members =
                state.peers().values().stream().filter(peer -> !peer.leaving()).map(FleetPeer::member);
        return Stream.concat(own ? Stream.of(state.self()) : Stream.empty(), members)
                .filter(member -> member.zone().equals(zone))
                .filter(member -> state.hub().excludedUntil().getOrDefault(member.id(), 0L) <= nowMillis)
                .sorted(Comparator.comparingInt((FleetMember member) -> -member.linkMegabits())
                        .thenComparing(FleetMember::id))
                .toList();
    }

    private FleetState publish(FleetState state, Digest own, long nowMillis, List<FleetEffect> effects) {
        GroupDigest group = groupDigest(state, own, nowMillis);
        otherHubs(state, nowMillis).forEach(hub -> send(state, hub, group, effects));
        List<GroupDigest> all = new ArrayList<>(List.of(group));
        state.hub().groups().values().forEach(heard -> all.add(heard.message()));
        Map<String, MemberStatus> statuses = statuses(all);
        HubState.Published published = published(state, statuses, nowMillis);
        List<MemberStatus> changed = published.fullAtMillis() == nowMillis
                ? List.copyOf(statuses.values())
                : changedSince(state.hub().published(), statuses);
        Bulletin full = bulletin(state, statuses.keySet(), changed, all, nowMillis);
        List<TargetWork> work =
                full.work().stream().map(TargetWork::withoutAdapters).toList();
        Bulletin brief = new Bulletin(full.sender(), full.present(), changed, work, List.of(), full.quarantine());
        for (HubState.Received<Digest> member : state.hub().group().values()) {
            boolean isLeader = member.message().leadership().isPresent();
            effects.add(
                    new FleetEffect.SendPeerMessage(member.message().member().peerAddress(), isLeader ? full : brief));
        }
        HubState.Published sent =
                published.withWork(HubWorkFlow.byTarget(group.work()), HubWorkFlow.byTarget(work), nowMillis);
        FleetState next = state.with(state.hub().withPublished(sent));
        boolean reportsToItself = next.hub().id().equals(Optional.of(next.self().id()));
        return reportsToItself ? merge(next.with(next.hub().withHeardAt(nowMillis)), full, nowMillis, effects) : next;
    }

    private static List<MemberStatus> changedSince(HubState.Published before, Map<String, MemberStatus> statuses) {
        return statuses.values().stream()
                .filter(status ->
                        !status.equals(before.statuses().get(status.member().id())))
                .toList();
    }

    /**
     * Returns the state after publishing. The full member list is published if a receiver is new, and periodically in
     * case a message was lost; otherwise only changes are.
     */
    private static HubState.Published published(FleetState state, Map<String, MemberStatus> statuses, long nowMillis) {
        HubState.Published before = state.hub().published();
        Set<String> receivers = Set.copyOf(state.hub().group().keySet());
        boolean full = !before.receivers().containsAll(receivers)
                || nowMillis - before.fullAtMillis() >= FULL_BULLETIN_INTERVAL_MILLIS;
        return before.withMembers(Map.copyOf(statuses), receivers, full ? nowMillis : before.fullAtMillis());
    }

    /** Returns the hubs to send to: the known ones, and hub candidates of the zones without a known hub. */
    private static Set<String> otherHubs(FleetState state, long nowMillis) {
        Set<String> hubs = new LinkedHashSet<>(state.hub().groups().keySet());
        Set<String> knownZones = new HashSet<>();
        hubs.forEach(hub -> Optional.ofNullable(state.peers().get(hub))
                .ifPresent(peer -> knownZones.add(peer.member().zone())));
        Set<String> zones = new HashSet<>(Set.of(state.self().zone()));
        state.peers().values().forEach(peer -> zones.add(peer.member().zone()));
        zones.removeAll(knownZones);
        for (String zone : zones) {
            List<FleetMember> candidates = candidates(state, zone, nowMillis);
            long round = nowMillis / FleetTimings.GROUP_HEARTBEAT_INTERVAL;
            for (int offset = 0; offset < Math.min(HUB_CANDIDATES_PER_ROUND, candidates.size()); offset++) {
                int index = Math.floorMod(round * HUB_CANDIDATES_PER_ROUND + offset, candidates.size());
                hubs.add(candidates.get(index).id());
            }
        }
        hubs.remove(state.self().id());
        return hubs;
    }

    private static GroupDigest groupDigest(FleetState state, Digest own, long nowMillis) {
        List<Digest> digests = new ArrayList<>(List.of(own));
        state.hub().group().values().forEach(heard -> digests.add(heard.message()));
        List<MemberStatus> members = digests.stream()
                .map(digest -> new MemberStatus(digest.member(), digest.ready(), digest.leaving(), digest.leadership()))
                .toList();
        List<TargetWork> work = HubWorkFlow.sum(digests.stream().flatMap(digest -> digest.work().stream()));
        List<ModelDemand> demand = List.copyOf(PeerFlow.sumOfDemand(digests.stream()
                        .flatMap(digest -> digest.demand().stream())
                        .toList())
                .values());
        return new GroupDigest(state.self().id(), members, work, demand, PeerFlow.quarantine(state, nowMillis));
    }

    private static Map<String, MemberStatus> statuses(List<GroupDigest> groups) {
        Map<String, MemberStatus> members = new HashMap<>();
        groups.forEach(group -> group.members()
                .forEach(status -> members.putIfAbsent(status.member().id(), status)));
        return members;
    }

    private static Bulletin bulletin(
            FleetState state,
            Set<String> present,
            List<MemberStatus> changed,
            List<GroupDigest> groups,
            long nowMillis) {
        List<TargetWork> work = HubWorkFlow.sum(groups.stream().flatMap(group -> group.work().stream()));
        List<ModelDemand> demand = List.copyOf(PeerFlow.sumOfDemand(groups.stream()
                        .flatMap(group -> group.demand().stream())
                        .toList())
                .values());
        return new Bulletin(
                state.self().id(), Set.copyOf(present), changed, work, demand, PeerFlow.quarantine(state, nowMillis));
    }

    private FleetState merge(FleetState state, Bulletin bulletin, long nowMillis, List<FleetEffect> effects) {
        PMap<String, FleetPeer> peers = state.peers();
        for (String id : bulletin.present()) {
            FleetPeer known = peers.get(id);
            peers = known == null ? peers : peers.plus(id, known.heardAt(nowMillis));
        }
        FleetState next = state.withPeers(peers);
        for (MemberStatus status : bulletin.changed()) {
            boolean self = status.member().id().equals(state.self().id());
            boolean known = state.peers().containsKey(status.member().id());
            if (!self && (known || !status.leaving())) {
                next = merge(next, status, nowMillis, effects);
            }
        }
        Map<String, TargetWork> work = new HashMap<>();
        bulletin.work().forEach(item -> work.put(item.target(), item));
        return next.with(next.hub().withFleetLoad(Map.copyOf(work), bulletin.demand()));
    }

    private FleetState merge(FleetState state, MemberStatus status, long nowMillis, List<FleetEffect> effects) {
        FleetPeer known = state.peers().get(status.member().id());
        boolean newIncarnation = known == null
                || !known.member().incarnation().equals(status.member().incarnation());
        if (newIncarnation) {
            effects.addAll(PeerFlow.residencies(state, status.member().peerAddress(), nowMillis));
        }
        FleetState next =
                state.withPeers(state.peers().plus(status.member().id(), FleetPeer.fromHub(status, nowMillis)));
        return status.leadership().isPresent()
                ? leadership.onClaim(next, nowMillis, status.leadership().get(), effects)
                : next;
    }

    private static void sendToGroup(FleetState state, FleetMessage message, List<FleetEffect> effects) {
        for (HubState.Received<Digest> member : state.hub().group().values()) {
            effects.add(
                    new FleetEffect.SendPeerMessage(member.message().member().peerAddress(), message));
        }
    }

    private static void send(FleetState state, String member, FleetMessage message, List<FleetEffect> effects) {
        Optional.ofNullable(state.peers().get(member))
                .ifPresent(peer -> effects.add(
                        new FleetEffect.SendPeerMessage(peer.member().peerAddress(), message)));
    }

    private static long hubTimeoutMillis() {
        return HEARTBEATS_MISSED * FleetTimings.GROUP_HEARTBEAT_INTERVAL;
    }
}
