package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.log.OrderAction;
import org.jackdawbeam.model.request.AttemptId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Three models in constant use on an engine that has room for two of them. */
class ModelTurnTest {
    private static final long STEP_MILLIS = 50;
    private static final long REQUEST_INTERVAL_MILLIS = 200;
    private static final List<String> MODELS = List.of("m1", "m2", "m3");
    private static final long MAX_WAIT_MILLIS = 1_000;
    private static final long MIN_STAY_MILLIS = 3_600; // three loads
    private static final long CHANGE_MILLIS = 2_400; // unloading and loading, and a report after each
    private static final long LEASE_AND_GAP_MILLIS = 6_000;

    private final FleetFixture fixture = FleetFixture.serving(FleetFixture.engine("e1", "m1", "m2"));
    private final OrderedEngine engine = new OrderedEngine(7, Set.of("m1", "m2"));
    private final List<AttemptId> running = new ArrayList<>();
    private final Map<String, Long> heldAtMillis = new HashMap<>();
    private final Map<String, Long> longestWaitMillis = new HashMap<>();
    private int loads;

    @BeforeEach
    void lead() {
        fixture.configure(FleetFixture.generousConfiguration(2));
        fixture.acquireLeadership(4);
        execute();
    }

    private void apply(FleetEvent event) {
        fixture.apply(event);
        execute();
    }

    private void execute() {
        for (FleetEffect effect : List.copyOf(fixture.effects)) {
            switch (effect) {
                case FleetEffect.StartAttempt start -> running.add(start.attempt());
                case FleetEffect.SendOrder sent -> {
                    loads += sent.order().action() == OrderAction.LOAD_MODEL ? 1 : 0;
                    apply(new FleetEvent.OrderAnswered(
                            fixture.nowMillis, sent.order(), engine.order(sent.order(), fixture.nowMillis)));
                }
                case FleetEffect.ReadReport read ->
                    apply(new FleetEvent.ReportRead(fixture.nowMillis, read.target(), Optional.of(engine.report())));
                default -> {
                    // Other effects do not concern the engine.
                }
            }
        }
    }

    private void run(long millis, List<String> requested) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            fixture.nowMillis += STEP_MILLIS;
            engine.advance(fixture.nowMillis);
            fixture.read(Feed.CONFIGURATION, fixture.nowMillis);
            execute();
            fixture.renewLeadership();
            apply(new FleetEvent.Ticked(fixture.nowMillis));
            if (passed % REQUEST_INTERVAL_MILLIS == 0) {
                List<AttemptId> ended = List.copyOf(running);
                running.clear();
                ended.forEach(attempt -> apply(new FleetEvent.AttemptCompleted(fixture.nowMillis, attempt, 0)));
                requested.forEach(this::request);
            }
            noteWaits();
        }
    }

    private void request(String model) {
        fixture.chat("chat", model);
        execute();
    }

    private void receiveHeartbeat(FleetMessage.ModelDemand demand) {
        fixture.receive(new FleetMessage.Digest(
                "b",
                FleetFixture.member("b"),
                0,
                true,
                false,
                Optional.empty(),
                List.of(),
                List.of(demand),
                Optional.empty()));
    }

    private void noteWaits() {
        for (String model : MODELS) {
            if (engine.models().contains(model)) {
                heldAtMillis.put(model, fixture.nowMillis);
            }
            long waited = fixture.nowMillis - heldAtMillis.getOrDefault(model, fixture.nowMillis);
            longestWaitMillis.merge(model, waited, Math::max);
        }
    }

    // Guards against a model that is never served because each model on the engines is used more.
    @Test
    void modelsThatDoNotFitTogetherTakeTurnsWithinABound() {
        run(40_000, MODELS);

        assertThat(heldAtMillis).containsOnlyKeys(MODELS);
        assertThat(longestWaitMillis.values())
                .allSatisfy(waited ->
                        assertThat(waited).isLessThanOrEqualTo(MAX_WAIT_MILLIS + MIN_STAY_MILLIS + CHANGE_MILLIS));
    }

    // Guards against turns that are too short to be worth their loads.
    @Test
    void modelsThatTakeTurnsStayForThreeLoadsOrLonger() {
        run(40_000, MODELS);

        assertThat(loads).isBetween(2, (int) (40_000 / MIN_STAY_MILLIS));
    }

    // Guards against a wait that is forgotten with the leader, or with the host that the caller came to first.
    @Test
    void waitReportedByAnotherEntryCounts() {
        run(LEASE_AND_GAP_MILLIS, List.of("m1", "m2"));
        FleetMessage.ModelDemand demand = new FleetMessage.ModelDemand("engines", "m3", 10, 0, 600, MAX_WAIT_MILLIS);

        for (long passed = 0; passed < CHANGE_MILLIS; passed += REQUEST_INTERVAL_MILLIS) {
            receiveHeartbeat(demand);
            run(REQUEST_INTERVAL_MILLIS, List.of("m1", "m2"));
        }

        assertThat(heldAtMillis).containsKey("m3");
    }

    // Guards against room that is taken from models in use for one that an engine holds.
    @Test
    void nothingIsUnloadedWhileAllModelsThatAreAskedForAreHeld() {
        run(20_000, List.of("m1", "m2"));

        assertThat(loads).isZero();
    }
}
