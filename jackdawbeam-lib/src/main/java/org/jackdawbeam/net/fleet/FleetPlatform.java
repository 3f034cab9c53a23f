package org.jackdawbeam.net.fleet;

import java.util.function.Consumer;
import org.jackdawbeam.logic.fleet.FleetEffect;
import org.jackdawbeam.logic.fleet.FleetEvent;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.FleetMember;

/**
 * Calls to the platform's store and to engines. Each call ends with exactly one event, also if there is no answer; a
 * call whose event is not listed ends with none.
 */
public interface FleetPlatform {

    /** Ends with {@link FleetEvent.FeedRead} or {@link FleetEvent.FeedFailed}. */
    void readFeed(FleetEffect.ReadFeed read, Consumer<FleetEvent> events);

    /** Ends with {@link FleetEvent.AnnouncementEnded}. */
    void announce(FleetMember member, Consumer<FleetEvent> events);

    /** Ends with no event. */
    void withdraw(String memberId);

    /** Ends with {@link FleetEvent.LeadershipAppended}. */
    void appendLeadership(FleetEffect.AppendLeadership append, Consumer<FleetEvent> events);

    /** Ends with {@link FleetEvent.LeadershipRead} or {@link FleetEvent.LeadershipUnreadable}. */
    void readLeadership(FleetEffect.ReadLeadership read, Consumer<FleetEvent> events);

    /** Ends with {@link FleetEvent.OrderAnswered}. */
    void sendOrder(EngineOrder order, Consumer<FleetEvent> events);

    /** Ends with {@link FleetEvent.ReportRead}. */
    void readReport(FleetEffect.ReadReport read, Consumer<FleetEvent> events);
}
