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
 * Passes news in a large fleet. Each entry reports to the hub of its zone, which is the host with the strongest link;
 * hubs tell each other and then their entries. Only hubs follow the store's feeds. Whoever is reported to acts as
 * a hub, so that entries that disagree on the hub for a while still hear everything.
 */
final class HubFlow {
    private static final int HEARTBEATS_MISSED = 3;
    private static final long FULL_BULLETIN_INTERVAL_MILLIS = 3_000; // what a lost message may leave out for that long
    private static final long ALL_TARGETS_INTERVAL_MILLIS =
            3_000; // entries that were told of a change believe the list then
    private static final int HUB_CANDIDATES_PER_ROUND = 2; // members of a zone whose hub is not known, in turn

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
        next = next.with(new SentWork(nowMillis, nowMillis, digest.work()));
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

    /** Keeps what another hub tells. An entry that is no hub hands it to its own, which the sender did not know. */
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
        return merge(state.with(state.hub().hubHeardAt(nowMillis)), bulletin, nowMillis, effects);
    }

    /** Applies what the hub has read, unless something before it is missing; then the store is asked. */
    FleetState onFeedNews(FleetState state, FleetMessage.FeedNews news, long nowMillis, List<FleetEffect> effects) {
        if (!news.storeEra().equals(state.storeEra().number())) {
            return state;
        }
        FeedState feed = state.feed(news.feed());
        boolean gap = feed.nextOffset().isEmpty() || feed.nextOffset().getAsLong() < news.fromOffset();
        if (gap) {
            return state.with(news.feed(), feed.dueNow());
        }
        FleetState next = state.with(news.feed(), feed.advancedTo(news.nextOffset()));
        return feeds.applyAll(next, news.entries(), nowMillis, effects);
    }

    FleetState onConfigurationEnd(FleetState state, FleetMessage.ConfigurationEnd end) {
        boolean ofThisEra = end.storeEra().equals(state.storeEra().number());
        if (!end.incarnation().equals(state.self().incarnation()) || !ofThisEra) {
            return state;
        }
        FeedState feed = state.feed(Feed.CONFIGURATION);
        boolean complete = feed.nextOffset().isPresent() && feed.nextOffset().getAsLong() >= end.nextOffset();
        return complete
                ? state.with(Feed.CONFIGURATION, feed.confirmed(end.stampMillis()))
                : state.with(state.hub().withBehind(true));
    }

    /**
     * Passes on what this entry has read, if it is a hub. Targets write their entries anew all the time; those that say
     * what was known before are passed on now and then only.
     *
     * @param before the state without what was read
     * @param after the state with it
     */
    FleetState relay(
            FleetState before, FleetState after, FleetEvent.FeedRead read, long fromOffset, List<FleetEffect> effects) {
        boolean mesh = FleetTimings.isFullMesh(after.memberCount());
        boolean tellsOthers = mesh || isHub(after);
        if (read.feed() == Feed.CONFIGURATION
                && tellsOthers
                && !after.storeEra().configurationBehind()) {
            if (mesh) {
                FreshnessFlow.confirmAll(after, read, effects);
            } else {
                FreshnessFlow.confirmGroup(after, read, effects);
            }
        }
        if (mesh || !tellsOthers || read.feed() == Feed.CONFIGURATION) {
            return after;
        }
        if (read.newest() || read.entries().isEmpty()) {
            return after;
        }
        boolean everything = read.feed() == Feed.MEMBERS
                || read.nowMillis() - after.hub().published().allTargetsAtMillis() >= ALL_TARGETS_INTERVAL_MILLIS;
        List<FeedEntry> entries = everything
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
        boolean allTargets = everything && read.feed() == Feed.TARGETS;
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

    /** Returns whether this entry has to ask the store for a feed itself. */
    static boolean readsDirectly(FleetState state, Feed feed, long nowMillis) {
        FeedState progress = state.feed(feed);
        boolean firstRead =
                progress.nextOffset().isEmpty() || progress.freshAtMillis().isEmpty();
        if (firstRead) {
            return true;
        }
        if (FleetTimings.isFullMesh(state.memberCount())) {
            return feed != Feed.CONFIGURATION || FreshnessFlow.readsDirectly(state, nowMillis);
        }
        if (isHub(state)) {
            return true;
        }
        boolean hubIsSilent = nowMillis - state.hub().heardAtMillis() > hubTimeoutMillis();
        return switch (feed) {
            case CONFIGURATION -> state.hub().behind() || !progress.isFresh(nowMillis, FleetTimings.DIRECT_READ_AGE);
            case TARGETS, MEMBERS -> hubIsSilent && !progress.isFresh(nowMillis, FleetTimings.DIRECT_READ_AGE);
        };
    }

    /** Returns whether others report to this entry, or it is its own hub. */
    static boolean isHub(FleetState state) {
        return state.hub().id().equals(Optional.of(state.self().id()))
                || !state.hub().group().isEmpty();
    }

    private static FleetState chooseHub(FleetState state, long nowMillis, List<FleetEffect> effects) {
        HubState hub = state.hub();
        boolean silent = hub.id().isPresent()
                && !hub.id().get().equals(state.self().id())
                && nowMillis - hub.heardAtMillis() > hubTimeoutMillis();
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

    /** Returns the members of a zone, the strongest first; those that were silent as a hub are left out. */
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
        GroupDigest group = groupDigest(state, own);
        otherHubs(state, nowMillis).forEach(hub -> send(state, hub, group, effects));
        List<GroupDigest> all = new ArrayList<>(List.of(group));
        state.hub().groups().values().forEach(heard -> all.add(heard.message()));
        Map<String, MemberStatus> statuses = statuses(all);
        HubState.Published told = published(state, statuses, nowMillis);
        List<MemberStatus> changed = told.fullAtMillis() == nowMillis
                ? List.copyOf(statuses.values())
                : changedSince(state.hub().published(), statuses);
        Bulletin whole = bulletin(state, statuses.keySet(), changed, all);
        List<TargetWork> work = whole.work().stream()
                .map(item -> new TargetWork(item.target(), item.running(), item.unreadTokens(), Set.of()))
                .toList();
        Bulletin brief = new Bulletin(whole.sender(), whole.present(), changed, work, List.of());
        for (HubState.Received<Digest> member : state.hub().group().values()) {
            boolean holdsDuty = member.message().leadership().isPresent();
            effects.add(new FleetEffect.SendPeerMessage(
                    member.message().member().peerAddress(), holdsDuty ? whole : brief));
        }
        FleetState next = state.with(state.hub().withPublished(told));
        boolean reportsToItself = next.hub().id().equals(Optional.of(next.self().id()));
        return reportsToItself ? merge(next.with(next.hub().hubHeardAt(nowMillis)), whole, nowMillis, effects) : next;
    }

    private static List<MemberStatus> changedSince(HubState.Published before, Map<String, MemberStatus> statuses) {
        return statuses.values().stream()
                .filter(status ->
                        !status.equals(before.statuses().get(status.member().id())))
                .toList();
    }

    /** Returns what is told by now: changes, and everything to newcomers and where a message may have been lost. */
    private static HubState.Published published(FleetState state, Map<String, MemberStatus> statuses, long nowMillis) {
        HubState.Published before = state.hub().published();
        Set<String> receivers = Set.copyOf(state.hub().group().keySet());
        boolean whole = !before.receivers().containsAll(receivers)
                || nowMillis - before.fullAtMillis() >= FULL_BULLETIN_INTERVAL_MILLIS;
        return new HubState.Published(
                Map.copyOf(statuses),
                receivers,
                whole ? nowMillis : before.fullAtMillis(),
                before.allTargetsAtMillis());
    }

    /** Returns the hubs to tell: those that were heard, and the likely ones of zones that were not. */
    private static Set<String> otherHubs(FleetState state, long nowMillis) {
        Set<String> hubs = new LinkedHashSet<>(state.hub().groups().keySet());
        Set<String> heardZones = new HashSet<>();
        hubs.forEach(hub -> Optional.ofNullable(state.peers().get(hub))
                .ifPresent(peer -> heardZones.add(peer.member().zone())));
        Set<String> zones = new HashSet<>(Set.of(state.self().zone()));
        state.peers().values().forEach(peer -> zones.add(peer.member().zone()));
        zones.removeAll(heardZones);
        for (String zone : zones) {
            List<FleetMember> candidates = candidates(state, zone, nowMillis);
            long beat = nowMillis / FleetTimings.GROUP_HEARTBEAT_INTERVAL;
            for (int turn = 0; turn < Math.min(HUB_CANDIDATES_PER_ROUND, candidates.size()); turn++) {
                int index = Math.floorMod(beat * HUB_CANDIDATES_PER_ROUND + turn, candidates.size());
                hubs.add(candidates.get(index).id());
            }
        }
        hubs.remove(state.self().id());
        return hubs;
    }

    private static GroupDigest groupDigest(FleetState state, Digest own) {
        List<Digest> digests = new ArrayList<>(List.of(own));
        state.hub().group().values().forEach(heard -> digests.add(heard.message()));
        List<MemberStatus> members = digests.stream()
                .map(digest -> new MemberStatus(digest.member(), digest.ready(), digest.leaving(), digest.leadership()))
                .toList();
        List<TargetWork> work = sumOfWork(digests.stream().flatMap(digest -> digest.work().stream()));
        List<ModelDemand> demand = List.copyOf(PeerFlow.sumOfDemand(digests.stream()
                        .flatMap(digest -> digest.demand().stream())
                        .toList())
                .values());
        return new GroupDigest(state.self().id(), members, work, demand);
    }

    private static Map<String, MemberStatus> statuses(List<GroupDigest> groups) {
        Map<String, MemberStatus> members = new HashMap<>();
        groups.forEach(group -> group.members()
                .forEach(status -> members.putIfAbsent(status.member().id(), status)));
        return members;
    }

    private static Bulletin bulletin(
            FleetState state, Set<String> present, List<MemberStatus> changed, List<GroupDigest> groups) {
        List<TargetWork> work = sumOfWork(groups.stream().flatMap(group -> group.work().stream()));
        List<ModelDemand> demand = List.copyOf(PeerFlow.sumOfDemand(groups.stream()
                        .flatMap(group -> group.demand().stream())
                        .toList())
                .values());
        return new Bulletin(state.self().id(), Set.copyOf(present), changed, work, demand);
    }

    private static List<TargetWork> sumOfWork(Stream<TargetWork> work) {
        Map<String, TargetWork> sum = new HashMap<>();
        work.forEach(item -> sum.merge(item.target(), item, HubFlow::sum));
        return List.copyOf(sum.values());
    }

    private static TargetWork sum(TargetWork one, TargetWork other) {
        Set<String> adapters = new HashSet<>(one.adapters());
        adapters.addAll(other.adapters());
        return new TargetWork(
                one.target(),
                one.running() + other.running(),
                one.unreadTokens() + other.unreadTokens(),
                Set.copyOf(adapters));
    }

    private FleetState merge(FleetState state, Bulletin bulletin, long nowMillis, List<FleetEffect> effects) {
        PMap<String, FleetPeer> peers = state.peers();
        for (String id : bulletin.present()) {
            FleetPeer known = peers.get(id);
            peers = known == null ? peers : peers.plus(id, known.seenAt(nowMillis));
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
        boolean incarnationNew = known == null
                || !known.member().incarnation().equals(status.member().incarnation());
        if (incarnationNew) {
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
