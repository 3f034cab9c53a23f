package org.jackdawbeam.bench.fleet;

import org.jackdawbeam.logic.fleet.FleetEffect;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.request.AttemptId;

/** What entries of a simulated fleet call outside of it: targets and what they answer. */
public interface TargetBackend {
    /** Sends an attempt to its target. */
    void start(FleetSimulation fleet, SimulatedMember member, FleetEffect.StartAttempt attempt);

    /** Sends an order to an engine. */
    void order(FleetSimulation fleet, SimulatedMember member, EngineOrder order);

    /** Asks an engine for its state. */
    void report(FleetSimulation fleet, SimulatedMember member, String target);

    /** Cancels an attempt. */
    void cancel(AttemptId attempt);
}
