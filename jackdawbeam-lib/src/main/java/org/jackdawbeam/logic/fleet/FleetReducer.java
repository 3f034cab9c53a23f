package org.jackdawbeam.logic.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.QuarantineReport;

/**
 * Reducer over all events of an entry of a fleet whose targets register themselves in the platform's store. It is a
 * pure function: equal states and events give equal results, so that every failure can be replayed from its events.
 */
public final class FleetReducer {
    private final StoreEraFlow eras = new StoreEraFlow();
    private final QuotaFlow quota = new QuotaFlow();
    private final AdapterFlow adapters = new AdapterFlow();
    private final DispatchFlow dispatch = new DispatchFlow(quota, adapters);
    private final QuarantineFlow quarantine = new QuarantineFlow(dispatch);
    private final FeedFlow feeds = new FeedFlow(quarantine);
    private final LeadershipFlow leadership = new LeadershipFlow();
    private final PeerFlow peers = new PeerFlow(leadership);
    private final HubFlow hubs = new HubFlow(feeds, leadership);
    private final HubWorkFlow hubWork = new HubWorkFlow();
    private final TargetLeavingFlow leaving = new TargetLeavingFlow();
    private final TargetLimitFlow limits = new TargetLimitFlow();
    private final WarmUpFlow warmUp = new WarmUpFlow();
    private final ModelWaitFlow modelWaits = new ModelWaitFlow();
    private final PlacementFlow placement = new PlacementFlow(adapters, new ReplicaFlow(), new RetiredModelFlow());
    private final RequestFlow requests = new RequestFlow(quota, dispatch);
    private final AttemptFlow attempts = new AttemptFlow(dispatch, leaving, limits, quarantine);
    private final StopFlow stop = new StopFlow(peers, dispatch);

    /** Returns the state after the event and the effects to execute. */
    public Reduction apply(FleetState state, FleetEvent event) {
        return apply(state, event, failure -> {
            throw failure;
        });
    }

    /**
     * Returns the same, but a step of a tick that fails is left out.
     *
     * @param onFailure receives the exceptions of such steps
     */
    public Reduction apply(FleetState state, FleetEvent event, Consumer<RuntimeException> onFailure) {
        List<FleetEffect> effects = new ArrayList<>();
        FleetState next = reduce(state, event, effects, onFailure);
        return new Reduction(next, effects);
    }

    private FleetState reduce(
            FleetState state, FleetEvent event, List<FleetEffect> effects, Consumer<RuntimeException> onFailure) {
        return switch (event) {
            case FleetEvent.Ticked ticked -> tick(state, ticked.nowMillis(), effects, onFailure);
            case FleetEvent.Woken woken -> {
                FleetState next = placement.tick(state, woken.nowMillis(), effects);
                yield dispatch.tick(next, woken.nowMillis(), effects);
            }
            case FleetEvent.StoreEraSeen seen -> eras.onSeen(state, seen, effects);
            case FleetEvent.FeedRead read when state.storeEra().predates(read.askedAtMillis()) -> state;
            case FleetEvent.FeedRead read -> {
                long from = state.feed(read.feed()).nextOffset().orElse(0);
                FleetState next = feeds.onRead(state, read, effects);
                next = read.feed() == Feed.CONFIGURATION ? next.with(next.hub().withBehind(false)) : next;
                next = hubs.relay(state, next, read, from, effects);
                yield dispatch.tick(feeds.tick(next, read.nowMillis(), effects), read.nowMillis(), effects);
            }
            case FleetEvent.FeedFailed failed -> feeds.onFailed(state, failed, effects);
            case FleetEvent.AnnouncementEnded ended -> feeds.onAnnounced(state, ended);
            case FleetEvent.LeadershipAppended appended
            when state.storeEra().predates(appended.askedAtMillis()) -> state;
            case FleetEvent.LeadershipAppended appended -> leadership.onAppended(state, appended, effects);
            case FleetEvent.LeadershipRead read -> leadership.onRead(state, read, effects);
            case FleetEvent.LeadershipUnreadable unreadable -> leadership.onUnreadable(state, unreadable);
            case FleetEvent.QuarantineStored stored -> quarantine.onStored(state, stored);
            case FleetEvent.ReleaseRequested release ->
                quarantine.onReleaseRequested(state, release.group(), release.nowMillis(), effects);
            case FleetEvent.PeerReceived received -> onPeer(state, received.nowMillis(), received.message(), effects);
            case FleetEvent.RequestArrived arrived ->
                hubWork.tell(requests.onArrival(state, arrived, effects), arrived.nowMillis(), effects);
            case FleetEvent.CallerLeft left -> attempts.onCallerLeft(state, left, effects);
            case FleetEvent.AttemptAnswered answered -> attempts.onAnswered(state, answered, effects);
            case FleetEvent.AttemptStreaming streaming ->
                hubWork.tell(attempts.onStreaming(state, streaming, effects), streaming.nowMillis(), effects);
            case FleetEvent.AttemptCompleted completed -> attempts.onCompleted(state, completed);
            case FleetEvent.AnswerBuffered buffered -> stop.onBuffered(state, buffered);
            case FleetEvent.AnswerWritten written -> stop.onWritten(state, written);
            case FleetEvent.AttemptFailed failed -> attempts.onFailed(state, failed, effects);
            case FleetEvent.OrderAnswered answered -> {
                FleetState next = placement.onAnswered(state, answered, effects);
                next = placement.tick(next, answered.nowMillis(), effects);
                yield dispatch.tick(next, answered.nowMillis(), effects);
            }
            case FleetEvent.ReportRead report -> {
                FleetState next = placement.onReport(state, report, effects);
                yield dispatch.tick(next, report.nowMillis(), effects);
            }
            case FleetEvent.BoundsChanged changed -> state.with(changed.bounds());
            case FleetEvent.StopRequested requested -> stop.onRequest(state, requested.nowMillis(), effects);
        };
    }

    private FleetState tick(
            FleetState state, long nowMillis, List<FleetEffect> effects, Consumer<RuntimeException> onFailure) {
        return new TickSteps(state, effects, onFailure)
                .then(next -> feeds.tick(next, nowMillis, effects))
                .then(next -> leadership.tick(next, nowMillis, effects))
                .then(next -> warmUp.tick(next, nowMillis, effects))
                .then(next -> modelWaits.tick(next, nowMillis))
                .then(next -> peers.tick(next, nowMillis, effects))
                .then(next -> hubs.tick(next, nowMillis, effects))
                .then(next -> hubWork.tell(next, nowMillis, effects))
                .then(next -> quota.tick(next, nowMillis))
                .then(next -> quarantine.tick(next, nowMillis, effects))
                .then(next -> requests.tick(next, nowMillis, effects))
                .then(next -> dispatch.expire(next, nowMillis, effects))
                .then(
                        next -> placement.tick(next, nowMillis, effects),
                        next -> LeadershipFlow.resign(next, "planning failed", effects))
                .then(next -> dispatch.tick(next, nowMillis, effects))
                .then(next -> stop.tick(next, nowMillis, effects))
                .end();
    }

    private FleetState onPeer(FleetState state, long nowMillis, FleetMessage message, List<FleetEffect> effects) {
        return switch (message) {
            case FleetMessage.Digest digest ->
                withQuarantine(
                        adapters.recordUse(
                                hubs.onDigest(peers.onDigest(state, nowMillis, digest, effects), digest, nowMillis),
                                nowMillis,
                                digest.work()),
                        digest.sender(),
                        digest.quarantine(),
                        nowMillis,
                        effects);
            case FleetMessage.GroupDigest digest ->
                withQuarantine(
                        hubs.onGroupDigest(state, digest, nowMillis, effects),
                        digest.sender(),
                        digest.quarantine(),
                        nowMillis,
                        effects);
            case FleetMessage.Bulletin bulletin ->
                withQuarantine(
                        adapters.recordUse(
                                hubs.onBulletin(state, bulletin, nowMillis, effects), nowMillis, bulletin.work()),
                        bulletin.sender(),
                        bulletin.quarantine(),
                        nowMillis,
                        effects);
            case FleetMessage.FeedNews update ->
                dispatch.tick(hubs.onFeedNews(state, update, nowMillis, effects), nowMillis, effects);
            case FleetMessage.ConfigurationEnd end -> hubs.onConfigurationEnd(state, end);
            case FleetMessage.WorkNotice notice -> peers.onWorkNotice(state, notice);
            case FleetMessage.WorkChange change -> hubWork.onChange(state, change, nowMillis, effects);
            case FleetMessage.QuotaQuestion question -> quota.onQuestion(state, nowMillis, question, effects);
            case FleetMessage.QuotaAnswer answer -> requests.onQuotaAnswer(state, nowMillis, answer, effects);
            case FleetMessage.QuotaReturn returned -> quota.onReturn(state, returned);
            case FleetMessage.PlacementWish request -> adapters.onWish(state, nowMillis, request, effects);
            case FleetMessage.TargetLeaving notice -> leaving.onMessage(state, notice, effects);
            case FleetMessage.TargetLimited notice -> limits.onMessage(state, notice, nowMillis, effects);
            case FleetMessage.Residency residency ->
                dispatch.tick(peers.onResidency(state, residency, nowMillis), nowMillis, effects);
        };
    }

    private FleetState withQuarantine(
            FleetState state,
            String sender,
            Optional<QuarantineReport> report,
            long nowMillis,
            List<FleetEffect> effects) {
        return report.map(told -> quarantine.onReport(state, sender, told, nowMillis, effects))
                .orElse(state);
    }
}
