package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.OrderResponse;
import org.jackdawbeam.model.fleet.TargetReport;
import org.jackdawbeam.model.log.OrderAction;
import org.junit.jupiter.api.Test;

/** An engine with room for two models that holds models which the configuration no longer has. */
class RetiredModelTest {
    private static final String RETIRED = "old-1";
    private static final String ALSO_RETIRED = "old-2";
    private static final long STEP_MILLIS = 50;
    /** Time after a failure of all entries within which requests must be served again. */
    private static final long RECOVERY_MILLIS = 12_000;
    /** Time for which entries may still act on the previous version. */
    private static final long APPLY_MILLIS = 4_000;

    private final Set<String> held = new HashSet<>();
    private final List<EngineOrder> accepted = new ArrayList<>();
    private final FleetFixture fixture;

    RetiredModelTest() {
        fixture = new FleetFixture();
        fixture.configure(FleetFixture.configuration(1, FleetFixture.KEY));
    }

    private void lead(String... models) {
        held.addAll(Set.of(models));
        fixture.listTargets(FleetFixture.engine("e1", models));
        fixture.acquireLeadership(4);
        report();
    }

    private void report() {
        fixture.report("e1", new TargetReport(Set.copyOf(held), Map.of(), false, accepted.size(), 7));
    }

    /** Advances the clock; the engine accepts each order and has carried it out at once. */
    private void run(long millis, boolean storeAnswers) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            fixture.nowMillis += STEP_MILLIS;
            if (storeAnswers) {
                fixture.read(Feed.CONFIGURATION, fixture.nowMillis);
            }
            fixture.renewLeadership();
            fixture.apply(new FleetEvent.Ticked(fixture.nowMillis));
            for (FleetEffect.SendOrder sent : fixture.all(FleetEffect.SendOrder.class)) {
                execute(sent.order());
            }
            report();
        }
    }

    private void execute(EngineOrder order) {
        accepted.add(order);
        if (order.action() == OrderAction.LOAD_MODEL) {
            held.add(order.model());
        } else {
            held.remove(order.model());
        }
        assertThat(held).as("models that the engine has room for").hasSizeLessThanOrEqualTo(2);
        fixture.apply(new FleetEvent.OrderAnswered(fixture.nowMillis, order, OrderResponse.ACCEPTED));
    }

    // Guards against planning that fails while an engine holds a model that the configuration no longer has.
    @Test
    void modelIsLoadedInThePlaceOfARetiredOne() {
        lead(RETIRED, "m1");
        fixture.chat("chat", "m2");

        run(RECOVERY_MILLIS, true);

        assertThat(held).contains("m2").doesNotContain(RETIRED);
    }

    @Test
    void modelIsLoadedWhereAllModelsAreRetired() {
        lead(RETIRED, ALSO_RETIRED);
        fixture.chat("chat", "m2");

        run(RECOVERY_MILLIS, true);

        assertThat(held).contains("m2").doesNotContain(RETIRED, ALSO_RETIRED);
    }

    @Test
    void retiredModelIsUnloadedWithoutDemandForAnother() {
        lead(RETIRED, "m1");

        run(APPLY_MILLIS - STEP_MILLIS, true);
        assertThat(accepted).isEmpty();
        run(1_000, true);

        assertThat(held).contains("m1").doesNotContain(RETIRED);
    }

    @Test
    void modelThatALaterVersionHasAgainIsKept() {
        lead("m1");
        held.add("m4");
        report();
        run(APPLY_MILLIS - 1_000, true);

        fixture.configure(FleetFixture.configurationWith(2, "m4"));
        run(APPLY_MILLIS, true);

        assertThat(held).contains("m4");
        assertThat(accepted).noneMatch(order -> order.model().equals("m4"));
    }

    // Guards against unloading a model of a newer version that this leader has not read.
    @Test
    void modelIsKeptWhileTheConfigurationIsNotRead() {
        lead(RETIRED, "m1");

        run(APPLY_MILLIS + 1_000, false);

        assertThat(held).contains(RETIRED);
    }

    // Guards against adapters that are unloaded for one that cannot be loaded beside a model of unknown size.
    @Test
    void adapterIsNotUnloadedBesideARetiredModel() {
        lead(RETIRED, "m1");
        fixture.report("e1", new TargetReport(Set.copyOf(held), Map.of("m1", Set.of("a1")), false, accepted.size(), 7));
        fixture.nowMillis += 1_000;
        fixture.read(Feed.CONFIGURATION, fixture.nowMillis);

        fixture.arrive("chat", FleetFixture.KEY, Optional.of("m1"), Optional.of("a2"), 100);

        assertThat(fixture.all(FleetEffect.SendOrder.class)).isEmpty();
    }
}
