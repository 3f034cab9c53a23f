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
 * Everything that an entry of a fleet knows.
 *
 * @param configuration the newest configuration; empty until one was read
 * @param targets targets by id
 * @param peers the other entries by member id
 * @param buckets units of the workspaces that this entry has counted
 * @param retries retries allowed by service
 * @param demand what callers of this entry ask for, by {@link DemandKey}
 * @param sent what the other entries were last told
 * @param hub how news pass in a fleet that is too large for all to tell all
 */
public record FleetState(
        FleetMember self,
        FleetBounds bounds,
        PMap<Feed, FeedState> feeds,
        Optional<FleetConfiguration> configuration,
        PMap<String, FleetTarget> targets,
        PMap<String, FleetPeer> peers,
        PMap<Long, FleetRequest> requests,
        PMap<String, QuotaBucket> buckets,
        PMap<String, RetryAllowance> retries,
        Leadership leadership,
        PlacementState placement,
        Demand demand,
        Announcement announcement,
        StopStage stop,
        SentWork sent,
        HubState hub) {
    private static final double DEMAND_WINDOW_MILLIS = 3_000; // bursts last three seconds and more

    /** Returns the state of an entry that has just started. */
    public static FleetState initial(FleetMember self, FleetBounds bounds) {
        PMap<Feed, FeedState> feeds = HashTreePMap.empty();
        for (Feed feed : Feed.values()) {
            feeds = feeds.plus(feed, FeedState.unread());
        }
        return new FleetState(
                self,
                bounds,
                feeds,
                Optional.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                Leadership.unknown(),
                PlacementState.empty(),
                Demand.none(DEMAND_WINDOW_MILLIS),
                Announcement.DUE,
                new StopStage.Serving(),
                SentWork.nothing(),
                HubState.none());
    }

    FleetState with(FleetBounds changed) {
        return new FleetState(
                self,
                changed,
                feeds,
                configuration,
                targets,
                peers,
                requests,
                buckets,
                retries,
                leadership,
                placement,
                demand,
                announcement,
                stop,
                sent,
                hub);
    }

    FleetState with(Feed feed, FeedState changed) {
        return new FleetState(
                self,
                bounds,
                feeds.plus(feed, changed),
                configuration,
                targets,
                peers,
                requests,
                buckets,
                retries,
                leadership,
                placement,
                demand,
                announcement,
                stop,
                sent,
                hub);
    }

    FleetState with(FleetConfiguration changed) {
        return new FleetState(
                self,
                bounds,
                feeds,
                Optional.of(changed),
                targets,
                peers,
                requests,
                buckets,
                retries,
                leadership,
                placement,
                demand,
                announcement,
                stop,
                sent,
                hub);
    }

    FleetState withTargets(PMap<String, FleetTarget> changed) {
        return new FleetState(
                self,
                bounds,
                feeds,
                configuration,
                changed,
                peers,
                requests,
                buckets,
                retries,
                leadership,
                placement,
                demand,
                announcement,
                stop,
                sent,
                hub);
    }

    FleetState with(FleetTarget target) {
        return withTargets(targets.plus(target.description().id(), target));
    }

    FleetState withPeers(PMap<String, FleetPeer> changed) {
        return new FleetState(
                self,
                bounds,
                feeds,
                configuration,
                targets,
                changed,
                requests,
                buckets,
                retries,
                leadership,
                placement,
                demand,
                announcement,
                stop,
                sent,
                hub);
    }

    FleetState withRequests(PMap<Long, FleetRequest> changed) {
        return new FleetState(
                self,
                bounds,
                feeds,
                configuration,
                targets,
                peers,
                changed,
                buckets,
                retries,
                leadership,
                placement,
                demand,
                announcement,
                stop,
                sent,
                hub);
    }

    FleetState with(FleetRequest request) {
        return withRequests(requests.plus(request.id(), request));
    }

    FleetState without(FleetRequest request) {
        return withRequests(requests.minus(request.id()));
    }

    FleetState with(String workspace, QuotaBucket bucket) {
        return new FleetState(
                self,
                bounds,
                feeds,
                configuration,
                targets,
                peers,
                requests,
                buckets.plus(workspace, bucket),
                retries,
                leadership,
                placement,
                demand,
                announcement,
                stop,
                sent,
                hub);
    }

    FleetState with(String service, RetryAllowance allowance) {
        return new FleetState(
                self,
                bounds,
                feeds,
                configuration,
                targets,
                peers,
                requests,
                buckets,
                retries.plus(service, allowance),
                leadership,
                placement,
                demand,
                announcement,
                stop,
                sent,
                hub);
    }

    FleetState with(Leadership changed) {
        return new FleetState(
                self,
                bounds,
                feeds,
                configuration,
                targets,
                peers,
                requests,
                buckets,
                retries,
                changed,
                placement,
                demand,
                announcement,
                stop,
                sent,
                hub);
    }

    FleetState with(PlacementState changed) {
        return new FleetState(
                self,
                bounds,
                feeds,
                configuration,
                targets,
                peers,
                requests,
                buckets,
                retries,
                leadership,
                changed,
                demand,
                announcement,
                stop,
                sent,
                hub);
    }

    FleetState with(Demand changed) {
        return new FleetState(
                self,
                bounds,
                feeds,
                configuration,
                targets,
                peers,
                requests,
                buckets,
                retries,
                leadership,
                placement,
                changed,
                announcement,
                stop,
                sent,
                hub);
    }

    FleetState with(Announcement changed) {
        return new FleetState(
                self,
                bounds,
                feeds,
                configuration,
                targets,
                peers,
                requests,
                buckets,
                retries,
                leadership,
                placement,
                demand,
                changed,
                stop,
                sent,
                hub);
    }

    FleetState with(StopStage changed) {
        return new FleetState(
                self,
                bounds,
                feeds,
                configuration,
                targets,
                peers,
                requests,
                buckets,
                retries,
                leadership,
                placement,
                demand,
                announcement,
                changed,
                sent,
                hub);
    }

    FleetState with(SentWork changed) {
        return new FleetState(
                self,
                bounds,
                feeds,
                configuration,
                targets,
                peers,
                requests,
                buckets,
                retries,
                leadership,
                placement,
                demand,
                announcement,
                stop,
                changed,
                hub);
    }

    FleetState with(HubState changed) {
        return new FleetState(
                self,
                bounds,
                feeds,
                configuration,
                targets,
                peers,
                requests,
                buckets,
                retries,
                leadership,
                placement,
                demand,
                announcement,
                stop,
                sent,
                changed);
    }

    FeedState feed(Feed feed) {
        return feeds.get(feed);
    }

    /** Returns how many entries there are, those that do not answer included. */
    int memberCount() {
        return peers.size() + 1;
    }
}
