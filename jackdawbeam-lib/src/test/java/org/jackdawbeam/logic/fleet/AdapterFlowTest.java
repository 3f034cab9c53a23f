package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.OrderResponse;
import org.jackdawbeam.model.log.OrderAction;
import org.jackdawbeam.model.request.AttemptId;
import org.junit.jupiter.api.Test;

/** Every adapter that is asked for is served in the end, whatever happens to the orders for it. */
class AdapterFlowTest {
    private static final long DEADLINE_MILLIS = 4_000;

    private final FleetFixture fixture = FleetFixture.serving(FleetFixture.engine("e1", "m1"));
    private final List<String> loaded = new ArrayList<>();
    private final List<AttemptId> running = new ArrayList<>();

    AdapterFlowTest() {
        fixture.configure(FleetFixture.generousConfiguration(2));
        fixture.acquireLeadership(4);
        fixture.report("e1", 3, Set.of("m1"), Map.of("m1", Set.of("a1", "a2")));
        advance(600);
    }

    /** Advances the clock; orders are answered at once. */
    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += 50) {
            fixture.nowMillis += 50;
            fixture.read(Feed.CONFIGURATION, fixture.nowMillis);
            answerOrders();
            fixture.renewLeadership();
            fixture.apply(new FleetEvent.Ticked(fixture.nowMillis));
            answerOrders();
        }
    }

    private void answerOrders() {
        fixture.all(FleetEffect.StartAttempt.class).forEach(start -> running.add(start.attempt()));
        boolean reportAsked = !fixture.all(FleetEffect.ReadReport.class).isEmpty();
        fixture.all(FleetEffect.SendOrder.class).forEach(sent -> answer(sent.order()));
        if (reportAsked) {
            report();
        }
    }

    /** Reports what the leader believes; orders are finished by then. */
    private void report() {
        EngineState believed = fixture.state.placement().engines().get("e1");
        Map<String, Set<String>> adapters = new HashMap<>();
        believed.adapters()
                .keySet()
                .forEach(key -> adapters.computeIfAbsent(key.model(), model -> new HashSet<>())
                        .add(key.adapter()));
        fixture.report("e1", believed.minimumOrderCount(), believed.models().orElseThrow(), adapters);
        answerOrders();
    }

    private void completeRequests() {
        List<AttemptId> ended = List.copyOf(running);
        running.clear();
        ended.forEach(attempt -> fixture.apply(new FleetEvent.AttemptCompleted(fixture.nowMillis, attempt, 0)));
    }

    private void answer(EngineOrder order) {
        boolean unload = order.action() == OrderAction.UNLOAD_ADAPTER;
        if (order.action() == OrderAction.LOAD_ADAPTER) {
            loaded.add(order.adapter().orElseThrow());
        }
        fixture.apply(new FleetEvent.OrderAnswered(
                fixture.nowMillis, order, unload ? OrderResponse.HOLDS : OrderResponse.ACCEPTED));
        answerOrders();
    }

    private void request(String adapter) {
        fixture.arrive("chat", FleetFixture.KEY, Optional.of("m1"), Optional.of(adapter), 100);
    }

    // Guards against an adapter that no request can use any more because its unload was not answered.
    @Test
    void adapterIsUsedAgainAfterAnUnloadThatDidNotHappen() {
        request("a3");
        EngineOrder unload = fixture.only(FleetEffect.SendOrder.class).order();
        String kept = unload.adapter().orElseThrow();
        fixture.apply(new FleetEvent.OrderAnswered(fixture.nowMillis, unload, OrderResponse.UNKNOWN));
        fixture.report("e1", 3, Set.of("m1"), Map.of("m1", Set.of("a1", "a2")));

        request(kept);

        assertThat(fixture.all(FleetEffect.StartAttempt.class)).hasSize(1);
    }

    // Guards against an adapter that is not loaded because the leader takes it to be on its engine.
    @Test
    void requestForAnAdapterThatIsHeldAlreadyIsCheckedByAReport() {
        fixture.receiveHeartbeat("b");
        advance(500);

        fixture.receive(FleetFixture.wish("b", "m1", "a1", "e1"));
        fixture.advance(50);

        assertThat(fixture.all(FleetEffect.ReadReport.class)).hasSize(1);
    }

    // Guards against an adapter that waits without end for a slot while others are used all the time.
    @Test
    void adapterIsLoadedWithinADeadlineWhileOthersAreUsedAllTheTime() {
        for (long passed = -500; passed < DEADLINE_MILLIS; passed += 100) {
            request("a1");
            answerOrders();
            request("a2");
            answerOrders();
            if (passed == 0) {
                request("a3");
                answerOrders();
            }
            advance(100);
            completeRequests();
        }

        assertThat(loaded).contains("a3");
    }

    // Guards against adapters that come last each time because of their names.
    @Test
    void adapterThatWaitsLongestIsLoadedFirst() {
        fixture.receiveHeartbeat("b");
        List<String> asked = List.of("a9", "a3", "a7", "a5", "a8", "a4");
        for (String adapter : asked) {
            fixture.receive(FleetFixture.wish("b", "m1", adapter, "e1"));
            fixture.nowMillis += 1;
        }
        fixture.effects = new ArrayList<>(List.of(pending()));

        answerOrders();
        advance(50);

        assertThat(loaded).startsWith("a9", "a3");
    }

    private FleetEffect pending() {
        EngineOrder order =
                fixture.state.placement().engines().get("e1").pendingOrder().orElseThrow();
        return new FleetEffect.SendOrder(order, 7, Set.of("m1"), 2);
    }
}
