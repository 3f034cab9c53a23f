package org.jackdawbeam.logic.fleet;

import java.util.Optional;
import java.util.function.Consumer;
import org.jackdawbeam.logic.cost.CostAccount;
import org.jackdawbeam.logic.evacuation.Evacuations;
import org.jackdawbeam.logic.placement.Demand;
import org.jackdawbeam.logic.quarantine.Quarantine;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FleetBounds;
import org.jackdawbeam.model.fleet.FleetConfiguration;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.QuarantineScope;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * Complete state of an entry of a fleet.
 *
 * @param storeEra era of the store that this entry is connected to
 * @param configuration the newest configuration; empty until one was read
 * @param targets targets by id
 * @param peers the other entries by member id
 * @param peersAtConfigurationRead the peers at the time of the latest configuration read
 * @param bufferedAnswers requests whose complete answers have not been written to their callers' connections
 * @param buckets quota buckets of the workspaces that this entry has owned
 * @param quotaOwnership the workspaces whose quota this entry owns now
 * @param retries retry budget by service
 * @param demand demand of the callers of this entry, by {@link DemandKey}
 * @param objectives mean objective of the requests for a model in milliseconds, by {@link DemandKey}
 * @param modelWaits models that callers of this entry ask for and no engine holds
 * @param prefillStatistics prefill speed of engines, by service
 * @param typicalPrefillTokens mean number of prompt tokens that an engine had to process for a request, by route
 * @param costs what requests cost at models and engines
 * @param sent the load information last sent to the peers
 * @param hub state of the hub topology, used in a fleet that is too large for a full mesh
 * @param quarantine prompt parts that may crash engines
 * @param requestQuarantine requests that may crash engines
 * @param storedQuarantine what the store is known to hold of both
 * @param evacuations the evacuated availability zones
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
        PSet<Long> bufferedAnswers,
        PMap<String, QuotaBucket> buckets,
        QuotaOwnership quotaOwnership,
        PMap<String, RetryBudget> retries,
        Leadership leadership,
        PlacementState placement,
        Demand demand,
        PMap<String, Double> objectives,
        ModelWaits modelWaits,
        PMap<String, PrefillStatistics> prefillStatistics,
        PMap<String, Double> typicalPrefillTokens,
        CostAccount costs,
        Announcement announcement,
        StopStage stop,
        SentWork sent,
        HubState hub,
        Quarantine quarantine,
        Quarantine requestQuarantine,
        PMap<QuarantinedGroup, StoredQuarantine> storedQuarantine,
        Evacuations evacuations) {
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
                HashTreePSet.empty(),
                HashTreePMap.empty(),
                QuotaOwnership.none(),
                HashTreePMap.empty(),
                Leadership.unknown(),
                PlacementState.empty(),
                Demand.none(DEMAND_WINDOW_MILLIS),
                HashTreePMap.empty(),
                ModelWaits.none(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                CostAccount.unknown(),
                Announcement.PENDING,
                new StopStage.Serving(),
                SentWork.none(),
                HubState.none(),
                Quarantine.empty(QuarantineScope.PROMPT_PARTS),
                Quarantine.empty(QuarantineScope.REQUESTS),
                HashTreePMap.empty(),
                Evacuations.none());
    }

    FleetState with(FleetBounds changed) {
        return changed(builder -> builder.bounds = changed);
    }

    FleetState with(StoreEra changed) {
        return changed(builder -> builder.storeEra = changed);
    }

    FleetState with(Feed feed, FeedState changed) {
        return changed(builder -> builder.feeds = feeds.plus(feed, changed));
    }

    FleetState with(FleetConfiguration changed) {
        return changed(builder -> builder.configuration = Optional.of(changed));
    }

    FleetState withTargets(PMap<String, FleetTarget> changed) {
        return changed(builder -> builder.targets = changed);
    }

    FleetState with(FleetTarget target) {
        return withTargets(targets.plus(target.description().id(), target));
    }

    FleetState withPeers(PMap<String, FleetPeer> changed) {
        return changed(builder -> builder.peers = changed);
    }

    /** Returns the state with a snapshot of the peers, to be confirmed when the configuration read completes. */
    FleetState withConfigurationReadStarted() {
        return changed(builder -> {
            builder.peersAtConfigurationRead = peers;
            builder.hub = hub.withConfigurationReadStarted();
        });
    }

    FleetState withRequests(PMap<Long, FleetRequest> changed) {
        return changed(builder -> builder.requests = changed);
    }

    FleetState with(FleetRequest request) {
        return withRequests(requests.plus(request.id(), request));
    }

    FleetState without(FleetRequest request) {
        return withRequests(requests.minus(request.id()));
    }

    FleetState with(String workspace, QuotaBucket bucket) {
        return changed(builder -> builder.buckets = buckets.plus(workspace, bucket));
    }

    FleetState with(QuotaOwnership changed) {
        return changed(builder -> builder.quotaOwnership = changed);
    }

    FleetState with(String service, RetryBudget budget) {
        return changed(builder -> builder.retries = retries.plus(service, budget));
    }

    FleetState with(Leadership changed) {
        return changed(builder -> builder.leadership = changed);
    }

    FleetState with(PlacementState changed) {
        return changed(builder -> builder.placement = changed);
    }

    /** Returns the state after recording the demand of a request for a model. */
    FleetState withDemand(DemandKey key, long tokens, long objectiveMillis, long nowMillis) {
        double mean = objectives.getOrDefault(key.text(), (double) objectiveMillis);
        Builder builder = new Builder(this);
        builder.demand = demand.plus(key.text(), tokens, nowMillis);
        builder.objectives = objectives.plus(key.text(), mean + OBJECTIVE_WEIGHT * (objectiveMillis - mean));
        return builder.build();
    }

    FleetState with(ModelWaits changed) {
        return changed(builder -> builder.modelWaits = changed);
    }

    FleetState with(String service, PrefillStatistics statistics) {
        return changed(builder -> builder.prefillStatistics = prefillStatistics.plus(service, statistics));
    }

    /** Returns the state after sending an engine a request of the route with the given number of tokens to process. */
    FleetState withSentPrefill(String route, long tokens) {
        double mean = typicalPrefillTokens.getOrDefault(route, (double) tokens);
        return changed(builder -> builder.typicalPrefillTokens =
                typicalPrefillTokens.plus(route, mean + TYPICAL_WEIGHT * (tokens - mean)));
    }

    PrefillStatistics prefillStatistics(String service) {
        return prefillStatistics.getOrDefault(service, PrefillStatistics.unknown());
    }

    FleetState with(CostAccount changed) {
        return changed(builder -> builder.costs = changed);
    }

    FleetState with(Announcement changed) {
        return changed(builder -> builder.announcement = changed);
    }

    FleetState with(StopStage changed) {
        return changed(builder -> builder.stop = changed);
    }

    FleetState withBufferedAnswers(PSet<Long> changed) {
        return changed(builder -> builder.bufferedAnswers = changed);
    }

    FleetState with(SentWork changed) {
        return changed(builder -> builder.sent = changed);
    }

    FleetState with(HubState changed) {
        return changed(builder -> builder.hub = changed);
    }

    /** Returns the quarantine of the scope. */
    public Quarantine quarantine(QuarantineScope scope) {
        return switch (scope) {
            case PROMPT_PARTS -> quarantine;
            case REQUESTS -> requestQuarantine;
        };
    }

    FleetState with(Quarantine changed) {
        Builder builder = new Builder(this);
        switch (changed.scope()) {
            case PROMPT_PARTS -> builder.quarantine = changed;
            case REQUESTS -> builder.requestQuarantine = changed;
        }
        return builder.build();
    }

    FleetState withStored(QuarantinedGroup group, StoredQuarantine stored) {
        return withStoredQuarantine(storedQuarantine.plus(group, stored));
    }

    FleetState withStoredQuarantine(PMap<QuarantinedGroup, StoredQuarantine> changed) {
        return changed(builder -> builder.storedQuarantine = changed);
    }

    FleetState with(Evacuations changed) {
        return changed(builder -> builder.evacuations = changed);
    }

    FeedState feed(Feed feed) {
        return feeds.get(feed);
    }

    /** Returns the number of members, including this entry and unresponsive peers. */
    int memberCount() {
        return peers.size() + 1;
    }

    private FleetState changed(Consumer<Builder> change) {
        Builder builder = new Builder(this);
        change.accept(builder);
        return builder.build();
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
        private PSet<Long> bufferedAnswers;
        private PMap<String, QuotaBucket> buckets;
        private QuotaOwnership quotaOwnership;
        private PMap<String, RetryBudget> retries;
        private Leadership leadership;
        private PlacementState placement;
        private Demand demand;
        private PMap<String, Double> objectives;
        private ModelWaits modelWaits;
        private PMap<String, PrefillStatistics> prefillStatistics;
        private PMap<String, Double> typicalPrefillTokens;
        private CostAccount costs;
        private Announcement announcement;
        private StopStage stop;
        private SentWork sent;
        private HubState hub;
        private Quarantine quarantine;
        private Quarantine requestQuarantine;
        private PMap<QuarantinedGroup, StoredQuarantine> storedQuarantine;
        private Evacuations evacuations;

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
            bufferedAnswers = source.bufferedAnswers;
            buckets = source.buckets;
            quotaOwnership = source.quotaOwnership;
            retries = source.retries;
            leadership = source.leadership;
            placement = source.placement;
            demand = source.demand;
            objectives = source.objectives;
            modelWaits = source.modelWaits;
            prefillStatistics = source.prefillStatistics;
            typicalPrefillTokens = source.typicalPrefillTokens;
            costs = source.costs;
            announcement = source.announcement;
            stop = source.stop;
            sent = source.sent;
            hub = source.hub;
            quarantine = source.quarantine;
            requestQuarantine = source.requestQuarantine;
            storedQuarantine = source.storedQuarantine;
            evacuations = source.evacuations;
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
                    bufferedAnswers,
                    buckets,
                    quotaOwnership,
                    retries,
                    leadership,
                    placement,
                    demand,
                    objectives,
                    modelWaits,
                    prefillStatistics,
                    typicalPrefillTokens,
                    costs,
                    announcement,
                    stop,
                    sent,
                    hub,
                    quarantine,
                    requestQuarantine,
                    storedQuarantine,
                    evacuations);
        }
    }
}
