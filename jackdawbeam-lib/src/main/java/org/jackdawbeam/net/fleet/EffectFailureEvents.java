package org.jackdawbeam.net.fleet;

import java.util.Optional;
import org.jackdawbeam.logic.fleet.FleetEffect;
import org.jackdawbeam.logic.fleet.FleetEvent;
import org.jackdawbeam.model.fleet.OrderResponse;
import org.jackdawbeam.model.request.AttemptFailure;

/** Events that report failed effects to the reducer, which would otherwise wait for their results forever. */
final class EffectFailureEvents {
    private EffectFailureEvents() {}

    /**
     * Returns the event that reports the failure of the effect, if the reducer waits for one. An effect that may have
     * been sent counts as sent.
     */
    static Optional<FleetEvent> failureEvent(FleetEffect effect, long nowMillis) {
        return switch (effect) {
            case FleetEffect.ReadFeed read -> Optional.of(new FleetEvent.FeedFailed(nowMillis, read.feed(), false));
            case FleetEffect.Announce announce -> Optional.of(new FleetEvent.AnnouncementEnded(nowMillis, false));
            case FleetEffect.AppendLeadership append ->
                Optional.of(
                        new FleetEvent.LeadershipAppended(nowMillis, nowMillis, new FleetEvent.AppendResult.Unknown()));
            case FleetEffect.ReadLeadership read -> Optional.of(new FleetEvent.LeadershipUnreadable(nowMillis));
            case FleetEffect.StoreQuarantine store ->
                Optional.of(new FleetEvent.QuarantineStored(nowMillis, store.group(), false));
            case FleetEffect.StartAttempt start ->
                Optional.of(
                        new FleetEvent.AttemptFailed(nowMillis, start.attempt(), AttemptFailure.CONNECT_FAILED, true));
            case FleetEffect.SendOrder send ->
                Optional.of(new FleetEvent.OrderAnswered(nowMillis, send.order(), OrderResponse.UNKNOWN));
            case FleetEffect.ReadReport read ->
                Optional.of(new FleetEvent.ReportRead(nowMillis, read.target(), Optional.empty()));
            default -> Optional.empty();
        };
    }
}
