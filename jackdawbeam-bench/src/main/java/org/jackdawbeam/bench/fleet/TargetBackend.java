package org.jackdawbeam.bench.fleet;

import org.jackdawbeam.logic.fleet.FleetEffect;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.request.AttemptId;

/** Interface between the entries of a simulated fleet and their targets. */
public interface TargetBackend {
    /** Starts an attempt at its target. */
    void start(FleetSimulation fleet, SimulatedMember member, FleetEffect.StartAttempt attempt);

    /** Sends an order to an engine. */
    void order(FleetSimulation fleet, SimulatedMember member, EngineOrder order);

    /** Requests a report of an engine's state. */
    void report(FleetSimulation fleet, SimulatedMember member, String target);

    /** Cancels an attempt. */
    void cancel(AttemptId attempt);
}
