package org.jackdawbeam.bench.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.jackdawbeam.bench.harness.EventQueue;
import org.jackdawbeam.logic.fleet.FleetEffect;
import org.jackdawbeam.logic.fleet.FleetEvent;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.OrderResponse;
import org.jackdawbeam.model.fleet.TargetReport;
import org.jackdawbeam.model.request.AttemptFailure;
import org.jackdawbeam.model.request.AttemptId;

/** Simulates model engines and a plain service that lose answers, reject requests and execute orders late. */
final class SimulatedTargets implements TargetBackend {
    private static final double LINK_MILLIS = 3;
    private static final double RUN_MILLIS = 60;
    private static final double ORDER_TIMEOUT_MILLIS = 1_000;
    private static final double MIN_LATE_MILLIS = 2_000; // unanswered orders are executed 2 to 12 s later
    private static final double LATE_SPREAD_MILLIS = 10_000;
    private static final int OVERLOADED = 503;
    private static final int MISDIRECTED = 421;

    private final EventQueue queue;
    private final Random random;
    private final FleetInvariantChecker checker;
    private final List<SimulatedEngine> engines = new ArrayList<>();
    private final Set<AttemptId> cancelled = new HashSet<>();
    private double lateOrderProbability;
    private double lostAnswerProbability;
    private double rejectionProbability;

    SimulatedTargets(EventQueue queue, Random random, FleetInvariantChecker checker) {
        this.queue = queue;
        this.random = random;
        this.checker = checker;
    }

    void add(SimulatedEngine engine) {
        engines.add(engine);
    }

    List<SimulatedEngine> engines() {
        return engines;
    }

    /** Sets the probabilities of late orders, of executed requests whose answer is lost, and of rejected requests. */
    void setFaultProbabilities(double late, double lost, double rejected) {
        lateOrderProbability = late;
        lostAnswerProbability = lost;
        rejectionProbability = rejected;
    }

    @Override
    public void cancel(AttemptId attempt) {
        cancelled.add(attempt);
    }

    @Override
    public void start(FleetSimulation fleet, SimulatedMember member, FleetEffect.StartAttempt start) {
        queue.after(LINK_MILLIS, () -> execute(fleet, member, start));
    }

    private void execute(FleetSimulation fleet, SimulatedMember member, FleetEffect.StartAttempt start) {
        AttemptId attempt = start.attempt();
        String id = start.target().id();
        Optional<SimulatedEngine> engine = engine(id);
        boolean gone = start.target().service().equals(FleetSearchSite.ENGINES) && engine.isEmpty();
        if (gone) {
            fleet.submitLater(
                    member,
                    LINK_MILLIS,
                    now -> new FleetEvent.AttemptFailed(now, attempt, AttemptFailure.CONNECT_FAILED, false));
            return;
        }
        boolean holds = engine.map(found -> FleetSearchSite.holds(found, start.callerRequestId()))
                .orElse(true);
        if (!holds || random.nextDouble() < rejectionProbability) {
            int status = holds ? OVERLOADED : MISDIRECTED;
            fleet.answerAttempt(member, attempt, LINK_MILLIS, status, true);
            return;
        }
        checker.executed(start.callerRequestId(), start.target().zone());
        if (random.nextDouble() < lostAnswerProbability) {
            fleet.submitLater(
                    member,
                    RUN_MILLIS,
                    now -> new FleetEvent.AttemptFailed(now, attempt, AttemptFailure.CONNECTION_LOST, true));
            return;
        }
        queue.after(RUN_MILLIS, () -> {
            if (!cancelled.remove(attempt)) {
                fleet.answerAttempt(member, attempt, LINK_MILLIS, 200, false);
                fleet.submitLater(member, LINK_MILLIS, now -> new FleetEvent.AttemptCompleted(now, attempt, 0));
                checker.completed(start.callerRequestId());
            }
        });
    }

    @Override
    public void order(FleetSimulation fleet, SimulatedMember member, EngineOrder order) {
        int incarnation = member.incarnation();
        queue.after(LINK_MILLIS, () -> {
            Optional<SimulatedEngine> engine = engine(order.target());
            engine.ifPresent(
                    found -> found.recordArrival(order, member.identity().id()));
            if (random.nextDouble() < lateOrderProbability) {
                executeLate(fleet, member, order);
                return;
            }
            OrderResponse response = engine.map(found -> found.order(order)).orElse(OrderResponse.UNKNOWN);
            answer(fleet, member, incarnation, order, response);
        });
    }

    private void executeLate(FleetSimulation fleet, SimulatedMember member, EngineOrder order) {
        double late = MIN_LATE_MILLIS + random.nextDouble() * LATE_SPREAD_MILLIS;
        queue.after(late, () -> engine(order.target()).ifPresent(engine -> engine.order(order)));
        fleet.submitLater(
                member, ORDER_TIMEOUT_MILLIS, now -> new FleetEvent.OrderAnswered(now, order, OrderResponse.UNKNOWN));
    }

    private static void answer(
            FleetSimulation fleet, SimulatedMember member, int incarnation, EngineOrder order, OrderResponse response) {
        if (member.incarnation() == incarnation) {
            fleet.submitLater(member, LINK_MILLIS, now -> new FleetEvent.OrderAnswered(now, order, response));
        }
    }

    @Override
    public void report(FleetSimulation fleet, SimulatedMember member, String target) {
        int incarnation = member.incarnation();
        queue.after(LINK_MILLIS, () -> {
            Optional<TargetReport> report = engine(target).map(SimulatedEngine::report);
            if (member.incarnation() == incarnation) {
                fleet.submitLater(member, LINK_MILLIS, now -> new FleetEvent.ReportRead(now, target, report));
            }
        });
    }

    private Optional<SimulatedEngine> engine(String id) {
        return engines.stream()
                .filter(engine -> engine.description().id().equals(id))
                .findFirst();
    }
}
