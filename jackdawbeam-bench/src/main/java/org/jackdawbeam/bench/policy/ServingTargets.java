package org.jackdawbeam.bench.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jackdawbeam.bench.fleet.FleetSimulation;
import org.jackdawbeam.bench.fleet.SimulatedMember;
import org.jackdawbeam.bench.fleet.TargetBackend;
import org.jackdawbeam.bench.harness.EventQueue;
import org.jackdawbeam.logic.fleet.FleetEffect;
import org.jackdawbeam.logic.fleet.FleetEvent;
import org.jackdawbeam.model.fleet.CallerRequest;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.OrderResponse;
import org.jackdawbeam.model.fleet.TargetReport;
import org.jackdawbeam.model.request.AttemptFailure;
import org.jackdawbeam.model.request.AttemptId;

/** Connects the entries of a simulated fleet to serving engines. */
final class ServingTargets implements TargetBackend {
    private static final double LINK_MILLIS = 1;
    private static final int MISDIRECTED = 421;
    private static final int OVERLOADED = 503;
    private static final int OK = 200;

    private final EventQueue queue;
    private final List<ServingEngine> engines;
    private final int tokensPerEvent;
    private final Map<AttemptId, SimulatedMember> senders = new HashMap<>();
    private final PolicyMeasurement measurement;
    private int orders;

    ServingTargets(EventQueue queue, List<ServingEngine> engines, int tokensPerEvent, PolicyMeasurement measurement) {
        this.queue = queue;
        this.engines = engines;
        this.tokensPerEvent = tokensPerEvent;
        this.measurement = measurement;
    }

    int orders() {
        return orders;
    }

    @Override
    public void start(FleetSimulation fleet, SimulatedMember member, FleetEffect.StartAttempt start) {
        queue.after(LINK_MILLIS, () -> arrive(fleet, member, start));
    }

    private void arrive(FleetSimulation fleet, SimulatedMember member, FleetEffect.StartAttempt start) {
        AttemptId attempt = start.attempt();
        Optional<ServingEngine> engine = engine(start.target().id()).filter(ServingEngine::isUp);
        if (engine.isEmpty()) {
            fail(fleet, member, attempt, AttemptFailure.CONNECT_FAILED, false);
            return;
        }
        CallerRequest call = measurement.call(start.callerRequestId());
        ServingAttempt serving = new ServingAttempt(
                attempt,
                call,
                start.priority(),
                tokensPerEvent,
                () -> onFirstToken(fleet, member, start),
                () -> measurement.recordEvent(start.callerRequestId(), queue.nowMillis()),
                () -> end(fleet, member, start));
        if (!engine.get().canServe(serving) || engine.get().isFull()) {
            fleet.answerAttempt(member, attempt, LINK_MILLIS, engine.get().isFull() ? OVERLOADED : MISDIRECTED, true);
            return;
        }
        senders.put(attempt, member);
        engine.get().accept(serving);
    }

    private void onFirstToken(FleetSimulation fleet, SimulatedMember member, FleetEffect.StartAttempt start) {
        fleet.answerAttempt(member, start.attempt(), LINK_MILLIS, OK, false);
        fleet.submitLater(member, LINK_MILLIS, now -> new FleetEvent.AttemptStreaming(now, start.attempt()));
        measurement.recordFirstToken(start.callerRequestId(), queue.nowMillis());
    }

    private void end(FleetSimulation fleet, SimulatedMember member, FleetEffect.StartAttempt start) {
        senders.remove(start.attempt());
        fleet.submitLater(
                member,
                LINK_MILLIS,
                now -> new FleetEvent.AttemptCompleted(
                        now,
                        start.attempt(),
                        Math.round(measurement.attempt(start.callerRequestId()).longestPauseMillis())));
        measurement.recordCompletion(start.callerRequestId(), queue.nowMillis());
    }

    private static void fail(
            FleetSimulation fleet, SimulatedMember member, AttemptId attempt, AttemptFailure failure, boolean written) {
        fleet.submitLater(member, LINK_MILLIS, now -> new FleetEvent.AttemptFailed(now, attempt, failure, written));
    }

    /** Crashes an engine; its attempts fail with a lost connection. */
    void crash(FleetSimulation fleet, ServingEngine engine) {
        for (ServingAttempt serving : engine.crash()) {
            fail(fleet, senders.remove(serving.attempt()), serving.attempt(), AttemptFailure.CONNECTION_LOST, true);
        }
    }

    @Override
    public void order(FleetSimulation fleet, SimulatedMember member, EngineOrder order) {
        orders++;
        queue.after(LINK_MILLIS, () -> {
            OrderResponse response =
                    engine(order.target()).map(engine -> engine.order(order)).orElse(OrderResponse.UNKNOWN);
            fleet.submitLater(member, LINK_MILLIS, now -> new FleetEvent.OrderAnswered(now, order, response));
        });
    }

    @Override
    public void report(FleetSimulation fleet, SimulatedMember member, String target) {
        queue.after(LINK_MILLIS, () -> {
            Optional<TargetReport> report =
                    engine(target).filter(ServingEngine::isUp).map(ServingEngine::report);
            fleet.submitLater(member, LINK_MILLIS, now -> new FleetEvent.ReportRead(now, target, report));
        });
    }

    @Override
    public void cancel(AttemptId attempt) {
        senders.remove(attempt);
        engines.forEach(engine -> engine.cancel(attempt));
    }

    private Optional<ServingEngine> engine(String id) {
        return engines.stream().filter(engine -> engine.id().equals(id)).findFirst();
    }
}
