package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.OrderResponse;
import org.jackdawbeam.model.fleet.TargetReport;
import org.jackdawbeam.model.log.OrderAction;
import org.junit.jupiter.api.Test;

class PlacementFlowTest {
    private final FleetFixture fixture = FleetFixture.serving(FleetFixture.engine("e1", "m1"));

    PlacementFlowTest() {
        fixture.acquireLeadership(4);
        fixture.report("e1", 3, Set.of("m1"), Map.of("m1", Set.of()));
    }

    private long adapterRequest(String adapter) {
        return fixture.arrive("chat", FleetFixture.KEY, Optional.of("m1"), Optional.of(adapter), 100);
    }

    private EngineOrder order() {
        return fixture.only(FleetEffect.SendOrder.class).order();
    }

    private void answer(EngineOrder order, OrderResponse response) {
        fixture.apply(new FleetEvent.OrderAnswered(fixture.nowMillis, order, response));
    }

    /** Requests an adapter and completes its load. */
    private void loadAdapter(String adapter) {
        adapterRequest(adapter);
        answer(order(), OrderResponse.ACCEPTED);
        fixture.nowMillis += 20;
        fixture.apply(new FleetEvent.Woken(fixture.nowMillis));
    }

    @Test
    void orderCarriesTokenAndExpectedCount() {
        adapterRequest("a1");

        assertThat(order().action()).isEqualTo(OrderAction.LOAD_ADAPTER);
        assertThat(order().fencingToken()).isEqualTo(4);
        assertThat(order().expectedCount()).isEqualTo(3);
    }

    @Test
    void requestIsSentWhenItsAdapterIsLoaded() {
        adapterRequest("a1");
        answer(order(), OrderResponse.ACCEPTED);
        assertThat(fixture.all(FleetEffect.StartAttempt.class)).isEmpty();

        fixture.nowMillis += 20;
        fixture.apply(new FleetEvent.Woken(fixture.nowMillis));

        assertThat(fixture.all(FleetEffect.StartAttempt.class)).hasSize(1);
    }

    @Test
    void engineReceivesOneOrderAtATime() {
        adapterRequest("a1");

        adapterRequest("a2");

        assertThat(fixture.all(FleetEffect.SendOrder.class)).isEmpty();
    }

    @Test
    void acceptedOrderIncreasesTheExpectedCount() {
        adapterRequest("a1");
        EngineOrder first = order();
        adapterRequest("a2");

        answer(first, OrderResponse.ACCEPTED);

        assertThat(order().expectedCount()).isEqualTo(4);
    }

    @Test
    void noAdapterIsLoadedWithoutAFreeSlot() {
        loadAdapter("a1");
        loadAdapter("a2");

        adapterRequest("a3");

        assertThat(fixture.all(FleetEffect.SendOrder.class)).isEmpty();
    }

    // Guards against adapters for which an engine that was filled before the system started has no memory.
    @Test
    void adapterIsNotLoadedBeyondTheMemoryOfTheEngine() {
        FleetFixture tight = FleetFixture.serving(FleetFixture.engine("e1", "m1", "m2"));
        tight.configure(FleetFixture.configurationWithModels(2, 99_950));
        tight.acquireLeadership(4);
        tight.report("e1", 3, Set.of("m1", "m2"), Map.of("m1", Set.of("a1")));

        tight.arrive("chat", FleetFixture.KEY, Optional.of("m1"), Optional.of("a2"), 100);

        assertThat(tight.all(FleetEffect.SendOrder.class))
                .noneMatch(sent -> sent.order().action() == OrderAction.LOAD_ADAPTER);
    }

    @Test
    void unusedAdapterIsUnloadedForAnother() {
        loadAdapter("a1");
        loadAdapter("a2");
        fixture.state = fixture.state.withRequests(
                fixture.state.requests().minusAll(fixture.state.requests().keySet()));
        fixture.advanceWithStoreReads(500);
        fixture.renewLeadership();

        adapterRequest("a3");

        assertThat(order().action()).isEqualTo(OrderAction.UNLOAD_ADAPTER);
    }

    @Test
    void slotOfAnAdapterInUseIsFreedOnlyByAReport() {
        loadAdapter("a1");
        loadAdapter("a2");
        fixture.state = fixture.state.withRequests(
                fixture.state.requests().minusAll(fixture.state.requests().keySet()));
        fixture.advanceWithStoreReads(500);
        fixture.renewLeadership();
        adapterRequest("a3");

        answer(order(), OrderResponse.ACCEPTED);
        assertThat(fixture.all(FleetEffect.SendOrder.class)).isEmpty();
        fixture.report("e1", 6, Set.of("m1"), Map.of("m1", Set.of("a2")));
        fixture.apply(new FleetEvent.Woken(fixture.nowMillis));

        assertThat(order().action()).isEqualTo(OrderAction.LOAD_ADAPTER);
    }

    @Test
    void adapterKeepsItsSlotWhenARequestForItIsRejected() {
        loadAdapter("a1");
        loadAdapter("a2");
        fixture.answer(fixture.only(FleetEffect.StartAttempt.class).attempt(), 421, true);

        adapterRequest("a3");

        assertThat(fixture.all(FleetEffect.SendOrder.class)).isEmpty();
    }

    @Test
    void unansweredOrderIsFollowedByAReportBeforeTheNextOrder() {
        adapterRequest("a1");

        answer(order(), OrderResponse.UNKNOWN);
        assertThat(fixture.all(FleetEffect.SendOrder.class)).isEmpty();
        fixture.nowMillis += 200;
        fixture.apply(new FleetEvent.Woken(fixture.nowMillis));

        assertThat(fixture.only(FleetEffect.ReadReport.class).target()).isEqualTo("e1");
    }

    @Test
    void fencedEntrySendsNoMoreOrders() {
        adapterRequest("a1");

        answer(order(), OrderResponse.FENCED);

        adapterRequest("a2");
        assertThat(fixture.all(FleetEffect.SendOrder.class)).isEmpty();
        assertThat(fixture.state.leadership().fencingToken()).isEmpty();
    }

    @Test
    void requestedModelIsLoaded() {
        fixture.advanceWithStoreReads(500);
        fixture.renewLeadership();
        fixture.chat("chat", "m2");

        fixture.advance(200);

        assertThat(order().action()).isEqualTo(OrderAction.LOAD_MODEL);
        assertThat(order().model()).isEqualTo("m2");
    }

    @Test
    void engineBusyWithAPredecessorsOrderReceivesNoOrder() {
        FleetFixture successor = FleetFixture.serving(FleetFixture.engine("e1", "m1"));
        successor.acquireLeadership(4);
        successor.report("e1", new TargetReport(Set.of("m1"), Map.of(), true, 3, 7));
        successor.advanceWithStoreReads(500);
        successor.renewLeadership();
        successor.chat("chat", "m2");

        successor.advance(200);
        assertThat(successor.all(FleetEffect.SendOrder.class)).isEmpty();
        successor.report("e1", 3, Set.of("m1"), Map.of());
        successor.advance(100);

        assertThat(successor.all(FleetEffect.SendOrder.class)).hasSize(1);
    }

    /** Returns an entry whose only engine has just accepted to load a second model, with a request for a third one. */
    private static FleetFixture loadingSecondModel() {
        FleetFixture loading = FleetFixture.serving(FleetFixture.engine("e1", "m1"));
        loading.acquireLeadership(4);
        loading.report("e1", 3, Set.of("m1"), Map.of());
        loading.advanceWithStoreReads(500);
        loading.renewLeadership();
        loading.chat("chat", "m2");
        loading.advance(200);
        EngineOrder order = loading.only(FleetEffect.SendOrder.class).order();
        loading.apply(new FleetEvent.OrderAnswered(loading.nowMillis, order, OrderResponse.ACCEPTED));
        loading.chat("chat", "m3");
        return loading;
    }

    @Test
    void reportFromBeforeAnAcceptedLoadDoesNotFreeTheEngine() {
        FleetFixture loading = loadingSecondModel();
        loading.advanceWithStoreReads(500);
        loading.renewLeadership();

        loading.report("e1", 3, Set.of("m1"), Map.of());
        loading.advance(200);

        assertThat(loading.all(FleetEffect.SendOrder.class)).isEmpty();
    }

    @Test
    void listEntryFromBeforeALoadDoesNotFreeItsMemory() {
        FleetFixture loading = loadingSecondModel();
        loading.advanceWithStoreReads(500);
        loading.renewLeadership();
        loading.report("e1", 4, Set.of("m1", "m2"), Map.of());

        loading.listTargets(FleetFixture.engine("e1", "m1"));
        loading.advance(200);

        assertThat(loading.all(FleetEffect.SendOrder.class))
                .noneMatch(sent -> sent.order().action() == OrderAction.LOAD_MODEL);
        assertThat(loading.state.targets().get("e1").holds("m2", Optional.empty()))
                .isTrue();
    }

    /** Returns an entry that has just ordered an engine to unload a model. */
    private static FleetFixture unloading() {
        FleetFixture full = FleetFixture.serving(FleetFixture.engine("e1", "m1", "m2"));
        full.receiveHeartbeat("b");
        full.acquireLeadership(4);
        full.report("e1", 3, Set.of("m1", "m2"), Map.of());
        full.advanceWithStoreReads(500);
        full.renewLeadership();
        full.receiveHeartbeat("b");
        full.chat("chat", "m3");
        full.advance(200);
        return full;
    }

    @Test
    void keptModelIsBroadcastAfterAnUnansweredUnloadOrder() {
        FleetFixture full = unloading();
        EngineOrder order = full.only(FleetEffect.SendOrder.class).order();

        full.apply(new FleetEvent.OrderAnswered(full.nowMillis, order, OrderResponse.UNKNOWN));
        full.advance(250);
        full.report("e1", 3, Set.of("m1", "m2"), Map.of());

        assertThat(full.all(FleetEffect.SendPeerMessage.class))
                .anyMatch(sent -> sent.message() instanceof FleetMessage.Residency residency
                        && residency.models().contains(order.model())
                        && residency.unloading().isEmpty());
    }

    @Test
    void unloadOfAModelIsBroadcast() {
        FleetFixture full = unloading();

        assertThat(full.only(FleetEffect.SendOrder.class).order().action()).isEqualTo(OrderAction.UNLOAD_MODEL);
        String unloaded = full.only(FleetEffect.SendOrder.class).order().model();
        assertThat(full.all(FleetEffect.SendPeerMessage.class))
                .anyMatch(sent -> sent.message() instanceof FleetMessage.Residency residency
                        && residency.unloading().contains(unloaded));
        assertThat(full.state.targets().get("e1").holds(unloaded, Optional.empty()))
                .isFalse();
    }

    @Test
    void reportWithALowerOrderCountDoesNotRemoveAnAdapter() {
        loadAdapter("a1");

        fixture.report("e1", 3, Set.of("m1"), Map.of("m1", Set.of()));

        assertThat(fixture.state.targets().get("e1").holds("m1", Optional.of("a1")))
                .isTrue();
    }

    // Guards against a former leader whose late message makes the leader load a model for which there is no room.
    @Test
    void residencyFromAFormerLeaderDoesNotFreeMemory() {
        FleetFixture full = FleetFixture.serving(FleetFixture.engine("e1", "m1", "m2"));
        full.receiveHeartbeat("b");
        full.acquireLeadership(4);
        full.report("e1", 3, Set.of("m1", "m2"), Map.of());
        full.advanceWithStoreReads(500);
        full.renewLeadership();

        full.receive(new FleetMessage.Residency("b", "e1", 7, Set.of("m1", "m2"), Map.of(), Set.of("m1")));
        full.chat("chat", "m3");
        full.advance(200);

        assertThat(full.all(FleetEffect.SendOrder.class))
                .noneMatch(sent -> sent.order().action() == OrderAction.LOAD_MODEL);
    }

    /** Returns an entry whose order to load model m2 was not answered before its engine started again, empty. */
    private static FleetFixture restartedAfterAnUnansweredLoad() {
        FleetFixture restarted = FleetFixture.serving(FleetFixture.engine("e1", "m1"));
        restarted.acquireLeadership(4);
        restarted.report("e1", 2, Set.of("m1"), Map.of());
        restarted.advanceWithStoreReads(500);
        restarted.renewLeadership();
        restarted.chat("chat", "m2");
        restarted.advance(200);
        EngineOrder unanswered = restarted.only(FleetEffect.SendOrder.class).order();
        restarted.apply(new FleetEvent.OrderAnswered(restarted.nowMillis, unanswered, OrderResponse.UNKNOWN));
        restarted.state = restarted.state.withRequests(
                restarted.state.requests().minusAll(restarted.state.requests().keySet()));
        restarted.listTargets(FleetFixture.startedAt(8, FleetFixture.engine("e1")));
        return restarted;
    }

    // Guards against an engine that has no room for an order of its former start, which it may still execute.
    @Test
    void roomIsKeptForAnUnansweredOrderOfTheFormerStart() {
        FleetFixture restarted = restartedAfterAnUnansweredLoad();
        restarted.report("e1", new TargetReport(Set.of("m1"), Map.of(), false, 1, 8));

        restarted.chat("chat", "m3");
        restarted.advance(200);

        assertThat(restarted.all(FleetEffect.SendOrder.class))
                .noneMatch(sent -> sent.order().action() == OrderAction.LOAD_MODEL);
    }

    // Guards against room that stays reserved for an order that the engine can no longer execute.
    @Test
    void roomIsUsedWhenTheOrderCountHasPassedTheUnansweredOrder() {
        FleetFixture restarted = restartedAfterAnUnansweredLoad();
        restarted.report("e1", new TargetReport(Set.of("m1"), Map.of(), false, 2, 8));

        restarted.chat("chat", "m3");
        restarted.advance(200);

        assertThat(restarted.only(FleetEffect.SendOrder.class).order().model()).isEqualTo("m3");
    }

    // Guards against a load beside a model whose presence the leader has only just learnt from the engine.
    @Test
    void modelThatIsHeldAlreadyTakesRoomAtOnce() {
        FleetFixture holding = FleetFixture.serving(FleetFixture.engine("e1", "m1"));
        holding.acquireLeadership(4);
        holding.report("e1", 2, Set.of("m1"), Map.of());
        holding.advanceWithStoreReads(500);
        holding.renewLeadership();
        holding.chat("chat", "m2");
        holding.advance(200);
        EngineOrder order = holding.only(FleetEffect.SendOrder.class).order();
        holding.apply(new FleetEvent.OrderAnswered(holding.nowMillis, order, OrderResponse.HOLDS));
        assertThat(holding.only(FleetEffect.ReadReport.class).target()).isEqualTo("e1");

        holding.chat("chat", "m3");
        holding.advance(100);

        assertThat(holding.all(FleetEffect.SendOrder.class)).isEmpty();
    }
}
