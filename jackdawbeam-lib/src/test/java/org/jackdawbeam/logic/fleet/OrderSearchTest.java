package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.OrderResponse;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random orders that are lost, late or unanswered, restarts of an engine, and messages of a former leader. */
class OrderSearchTest {
    private static final long STEP_MILLIS = 50;
    private static final long RUN_MILLIS = 60_000;
    private static final long ORDER_TIMEOUT_MILLIS = 800;
    private static final List<String> MODELS = List.of("m1", "m2", "m3");

    private record Due(long atMillis, long number, Runnable action) {}

    /** One leader and one engine, which is smaller than the demand. */
    private static final class Run {
        private final Random random;
        private final FleetFixture fixture = FleetFixture.serving(FleetFixture.engine("e1", "m1", "m2"));
        private final OrderedEngine engine = new OrderedEngine(7, Set.of("m1", "m2"));
        private final PriorityQueue<Due> queue =
                new PriorityQueue<>(Comparator.comparingLong(Due::atMillis).thenComparingLong(Due::number));
        private final List<EngineOrder> sent = new ArrayList<>();
        private long scheduled;

        Run(long seed) {
            random = new Random(seed);
            fixture.receiveHeartbeat("b");
            fixture.acquireLeadership(4);
            execute();
        }

        private void after(long millis, Runnable action) {
            queue.add(new Due(fixture.nowMillis + millis, scheduled++, action));
        }

        private void apply(FleetEvent event) {
            fixture.apply(event);
            execute();
        }

        private void execute() {
            for (FleetEffect effect : List.copyOf(fixture.effects)) {
                switch (effect) {
                    case FleetEffect.SendOrder order -> deliver(order.order());
                    case FleetEffect.ReadReport read ->
                        after(
                                5,
                                () -> apply(new FleetEvent.ReportRead(
                                        fixture.nowMillis, read.target(), Optional.of(engine.report()))));
                    case FleetEffect.WakeAfter wake ->
                        after(wake.delayMillis(), () -> apply(new FleetEvent.Woken(fixture.nowMillis)));
                    default -> {
                        // Other effects do not concern orders.
                    }
                }
            }
        }

        private void deliver(EngineOrder order) {
            sent.add(order);
            if (random.nextDouble() < 0.35) {
                after(2_000 + random.nextInt(10_000), () -> engine.order(order, fixture.nowMillis));
                after(
                        ORDER_TIMEOUT_MILLIS,
                        () -> apply(new FleetEvent.OrderAnswered(fixture.nowMillis, order, OrderResponse.UNKNOWN)));
                return;
            }
            after(3, () -> {
                OrderResponse response = engine.order(order, fixture.nowMillis);
                after(3, () -> apply(new FleetEvent.OrderAnswered(fixture.nowMillis, order, response)));
            });
        }

        private void step() {
            long until = fixture.nowMillis + STEP_MILLIS;
            while (!queue.isEmpty() && queue.peek().atMillis() <= until) {
                Due due = queue.poll();
                fixture.nowMillis = due.atMillis();
                engine.advance(fixture.nowMillis);
                due.action().run();
            }
            fixture.nowMillis = until;
            engine.advance(until);
            fixture.read(Feed.CONFIGURATION, until);
            fixture.renewLeadership();
            request();
            disturb();
            apply(new FleetEvent.Ticked(until));
        }

        private void request() {
            if (random.nextInt(3) > 0) {
                return;
            }
            int demanded = (int) (fixture.nowMillis / 5_000);
            String model = MODELS.get((demanded + random.nextInt(2)) % MODELS.size());
            Optional<String> adapter = Optional.of("a" + random.nextInt(3)).filter(name -> random.nextBoolean());
            fixture.arrive("chat", FleetFixture.KEY, Optional.of(model), adapter, 100);
            execute();
        }

        private void disturb() {
            if (random.nextInt(60) == 0) {
                Set<String> unloading = Set.of(MODELS.get(random.nextInt(MODELS.size())));
                fixture.receive(new FleetMessage.Residency(
                        "b", "e1", engine.startedAtMillis(), engine.models(), Map.of(), unloading));
                execute();
            }
            if (random.nextInt(100) == 0) {
                engine.restart(fixture.nowMillis);
                TargetDescription listed = FleetFixture.startedAt(engine.startedAtMillis(), FleetFixture.engine("e1"));
                after(random.nextInt(800), () -> {
                    fixture.listTargets(listed);
                    execute();
                });
            }
        }
    }

    // Guards against orders that exceed the memory or the adapter slots of an engine.
    @ParameterizedTest
    @ValueSource(longs = {1, 101, 201, 301})
    void noOrderExceedsTheRoomOfAnEngine(long firstSeed) {
        List<Long> broken = new ArrayList<>();
        for (long seed = firstSeed; seed < firstSeed + 25; seed++) {
            Run run = new Run(seed);
            long end = run.fixture.nowMillis + RUN_MILLIS;
            while (run.fixture.nowMillis < end) {
                run.step();
            }
            assertThat(run.sent).hasSizeGreaterThan(10);
            if (run.engine.overfilled()) {
                broken.add(seed);
            }
        }

        assertThat(broken).isEmpty();
    }
}
