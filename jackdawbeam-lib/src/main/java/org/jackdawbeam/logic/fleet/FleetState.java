package org.jackdawbeam.logic.fleet;

import java.util.Optional;
import org.jackdawbeam.logic.placement.Demand;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FleetBounds;
import org.jackdawbeam.model.fleet.FleetConfiguration;
import org.jackdawbeam.model.fleet.FleetMember;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Complete state of an entry of a fleet.
 *
 * @param storeEra era of the store that this entry is connected to
 * @param configuration the newest configuration; empty until one was read
 * @param targets targets by id
 * @param peers the other entries by member id
 * @param peersAtConfigurationRead the peers at the time of the latest configuration read
 * @param buckets quota buckets of the workspaces that this entry has owned
 * @param quotaOwnership the workspaces whose quota this entry owns now
 * @param retries retry budget by service
 * @param demand demand of the callers of this entry, by {@link DemandKey}
 * @param objectives mean objective of the requests for a model in milliseconds, by {@link DemandKey}
 * @param paces prefill speed of engines, by service
 * @param typicalUnread mean number of prompt tokens that an engine had to process for a request, by route
 * @param sent the load information last sent to the peers
 * @param hub state of the hub topology, used in a fleet that is too large for a full mesh
 */
public record FleetState(
        FleetMember self,
        FleetBounds bounds,
        StoreEra storeEra,
        PMap<Feed, FeedState> feeds,
        Optional<FleetConfiguration> configuration,
        PMap<String, FleetTarget> targets,
        PMap<String, FleetPeer> peers,
        PMap<String, FleetPeer> peersAtConfigurationRead,
        PMap<Long, FleetRequest> requests,
        PMap<String, QuotaBucket> buckets,
        QuotaOwnership quotaOwnership,
        PMap<String, RetryBudget> retries,
        Leadership leadership,
        PlacementState placement,
        Demand demand,
        PMap<String, Double> objectives,
        PMap<String, PrefillStatistics> paces,
        PMap<String, Double> typicalUnread,
        Announcement announcement,
        StopStage stop,
        SentWork sent,
        HubState hub) {
    static final double DEMAND_WINDOW_MILLIS = 3_000; // bursts last at least three seconds
    private static final double OBJECTIVE_WEIGHT = 0.1; // averages over about ten requests
    private static final double TYPICAL_WEIGHT = 0.05; // averages over about twenty, as prompt lengths differ tenfold

    /** Returns the state of an entry that has just started. */
    public static FleetState initial(FleetMember self, FleetBounds bounds) {
        PMap<Feed, FeedState> feeds = HashTreePMap.empty();
        for (Feed feed : Feed.values()) {
            feeds = feeds.plus(feed, FeedState.initial());
        }
        return new FleetState(
                self,
                bounds,
                StoreEra.unknown(),
                feeds,
                Optional.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                QuotaOwnership.none(),
                HashTreePMap.empty(),
                Leadership.unknown(),
                PlacementState.empty(),
                Demand.none(DEMAND_WINDOW_MILLIS),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                Announcement.PENDING,
                new StopStage.Serving(),
                SentWork.none(),
                HubState.none());
    }

    FleetState with(FleetBounds changed) {
        Builder draft = new Builder(this);
        draft.bounds = changed;
        return draft.build();
    }

    FleetState with(StoreEra changed) {
        Builder draft = new Builder(this);
        draft.storeEra = changed;
        return draft.build();
    }

    FleetState with(Feed feed, FeedState changed) {
        Builder draft = new Builder(this);
        draft.feeds = feeds.plus(feed, changed);
        return draft.build();
    }

    FleetState with(FleetConfiguration changed) {
        Builder draft = new Builder(this);
        draft.configuration = Optional.of(changed);
        return draft.build();
    }

    FleetState withTargets(PMap<String, FleetTarget> changed) {
        Builder draft = new Builder(this);
        draft.targets = changed;
        return draft.build();
    }

    FleetState with(FleetTarget target) {
        return withTargets(targets.plus(target.description().id(), target));
    }

    FleetState withPeers(PMap<String, FleetPeer> changed) {
        Builder draft = new Builder(this);
        draft.peers = changed;
        return draft.build();
    }

    /** Returns the state with a snapshot of the peers, to be confirmed when the configuration read completes. */
    FleetState withConfigurationReadStarted() {
        Builder draft = new Builder(this);
        draft.peersAtConfigurationRead = peers;
        return draft.build();
    }

    FleetState withRequests(PMap<Long, FleetRequest> changed) {
        Builder draft = new Builder(this);
        draft.requests = changed;
        return draft.build();
    }

    FleetState with(FleetRequest request) {
        return withRequests(requests.plus(request.id(), request));
    }

    FleetState without(FleetRequest request) {
        return withRequests(requests.minus(request.id()));
    }

    FleetState with(String workspace, QuotaBucket bucket) {
        Builder draft = new Builder(this);
        draft.buckets = buckets.plus(workspace, bucket);
        return draft.build();
    }

    FleetState with(QuotaOwnership changed) {
        Builder draft = new Builder(this);
        draft.quotaOwnership = changed;
        return draft.build();
    }

    FleetState with(String service, RetryBudget allowance) {
        Builder draft = new Builder(this);
        draft.retries = retries.plus(service, allowance);
        return draft.build();
    }

    FleetState with(Leadership changed) {
        Builder draft = new Builder(this);
        draft.leadership = changed;
        return draft.build();
    }

    FleetState with(PlacementState changed) {
        Builder draft = new Builder(this);
        draft.placement = changed;
        return draft.build();
    }

    /** Returns the state after recording the demand of a request for a model. */
    FleetState withDemand(DemandKey key, long tokens, long objectiveMillis, long nowMillis) {
        double mean = objectives.getOrDefault(key.text(), (double) objectiveMillis);
        Builder draft = new Builder(this);
        draft.demand = demand.plus(key.text(), tokens, nowMillis);
        draft.objectives = objectives.plus(key.text(), mean + OBJECTIVE_WEIGHT * (objectiveMillis - mean));
        return draft.build();
    }

    FleetState with(String service, PrefillStatistics pace) {
        Builder draft = new Builder(this);
        draft.paces = paces.plus(service, pace);
        return draft.build();
    }

    /** Returns the state after sending an engine a request of the route with the given number of tokens to process. */
    FleetState withTypicalUnread(String route, long tokens) {
        double mean = typicalUnread.getOrDefault(route, (double) tokens);
        Builder draft = new Builder(this);
        draft.typicalUnread = typicalUnread.plus(route, mean + TYPICAL_WEIGHT * (tokens - mean));
        return draft.build();
    }

    PrefillStatistics pace(String service) {
        return paces.getOrDefault(service, PrefillStatistics.unknown());
    }

    FleetState with(Announcement changed) {
        Builder draft = new Builder(this);
        draft.announcement = changed;
        return draft.build();
    }

    FleetState with(StopStage changed) {
        Builder draft = new Builder(this);
        draft.stop = changed;
        return draft.build();
    }

    FleetState with(SentWork changed) {
        Builder draft = new Builder(this);
        draft.sent = changed;
        return draft.build();
    }

    FleetState with(HubState changed) {
        Builder draft = new Builder(this);
        draft.hub = changed;
        return draft.build();
    }

    FeedState feed(Feed feed) {
        return feeds.get(feed);
    }

    /** Returns the number of members, including this entry and unresponsive peers. */
    int memberCount() {
        return peers.size() + 1;
    }

    /** Mutable copy from which the next state is built. */
    private static final class Builder {
        private final FleetMember self;
        private FleetBounds bounds;
        private StoreEra storeEra;
        private PMap<Feed, FeedState> feeds;
        private Optional<FleetConfiguration> configuration;
        private PMap<String, FleetTarget> targets;
        private PMap<String, FleetPeer> peers;
        private PMap<String, FleetPeer> peersAtConfigurationRead;
        private PMap<Long, FleetRequest> requests;
        private PMap<String, QuotaBucket> buckets;
        private QuotaOwnership quotaOwnership;
        private PMap<String, RetryBudget> retries;
        private Leadership leadership;
        private PlacementState placement;
        private Demand demand;
        private PMap<String, Double> objectives;
        private PMap<String, PrefillStatistics> paces;
        private PMap<String, Double> typicalUnread;
        private Announcement announcement;
        private StopStage stop;
        private SentWork sent;
        private HubState hub;

        Builder(FleetState source) {
            self = source.self;
            bounds = source.bounds;
            storeEra = source.storeEra;
            feeds = source.feeds;
            configuration = source.configuration;
            targets = source.targets;
            peers = source.peers;
            peersAtConfigurationRead = source.peersAtConfigurationRead;
            requests = source.requests;
            buckets = source.buckets;
            quotaOwnership = source.quotaOwnership;
            retries = source.retries;
            leadership = source.leadership;
            placement = source.placement;
            demand = source.demand;
            objectives = source.objectives;
            paces = source.paces;
            typicalUnread = source.typicalUnread;
            announcement = source.announcement;
            stop = source.stop;
            sent = source.sent;
            hub = source.hub;
        }

        FleetState build() {
            return new FleetState(
                    self,
                    bounds,
                    storeEra,
                    feeds,
                    configuration,
                    targets,
                    peers,
                    peersAtConfigurationRead,
                    requests,
                    buckets,
                    quotaOwnership,
                    retries,
                    leadership,
                    placement,
                    demand,
                    objectives,
                    paces,
                    typicalUnread,
                    announcement,
                    stop,
                    sent,
                    hub);
        }
    }
}
