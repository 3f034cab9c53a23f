package org.jackdawbeam.net.fleet;

import java.util.function.Consumer;
import org.jackdawbeam.logic.fleet.FleetEffect;
import org.jackdawbeam.logic.fleet.FleetEvent;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.FleetMember;

/**
 * Calls to the platform's store and to engines. Each call results in exactly one of the events listed for it, even if
 * there is no response.
 */
public interface FleetPlatform {

    /** Results in {@link FleetEvent.FeedRead} or {@link FleetEvent.FeedFailed}. */
    void readFeed(FleetEffect.ReadFeed read, Consumer<FleetEvent> events);

    /** Results in {@link FleetEvent.AnnouncementEnded}. */
    void announce(FleetMember member, Consumer<FleetEvent> events);

    /** Results in no event. */
    void withdraw(String memberId);

    /** Results in {@link FleetEvent.LeadershipAppended}. */
    void appendLeadership(FleetEffect.AppendLeadership append, Consumer<FleetEvent> events);

    /** Results in {@link FleetEvent.LeadershipRead} or {@link FleetEvent.LeadershipUnreadable}. */
    void readLeadership(FleetEffect.ReadLeadership read, Consumer<FleetEvent> events);

    /** Results in {@link FleetEvent.QuarantineStored}. */
    void storeQuarantine(FleetEffect.StoreQuarantine store, Consumer<FleetEvent> events);

    /** Results in {@link FleetEvent.OrderAnswered}. */
    void sendOrder(EngineOrder order, Consumer<FleetEvent> events);

    /** Results in {@link FleetEvent.ReportRead}. */
    void readReport(FleetEffect.ReadReport read, Consumer<FleetEvent> events);
}
