package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

import java.util.AbstractMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.jackdawbeam.model.fleet.EngineDefinition;
import org.jackdawbeam.model.fleet.FleetConfiguration;
import org.jackdawbeam.model.fleet.ModelDefinition;
import org.jackdawbeam.model.fleet.ServiceDefinition;
import org.junit.jupiter.api.Test;

/** A leader whose planning fails in each tick. */
class TickStepsTest {
    private static final int TICKS = 100;
    private static final long TICK_MILLIS = 100; // as long as the interval of planning

    private final FleetFixture fixture = FleetFixture.serving(FleetFixture.engine("e1", "m1"));
    private final List<RuntimeException> failures = new ArrayList<>();
    private final List<FleetEffect> effects = new ArrayList<>();

    TickStepsTest() {
        fixture.receiveHeartbeat("b");
        fixture.acquireLeadership(4);
        fixture.report("e1", 3, Set.of("m1"), Map.of());
        fixture.configure(withUnreadableModels(FleetFixture.configuration(2, FleetFixture.KEY)));
    }

    private static FleetConfiguration withUnreadableModels(FleetConfiguration known) {
        EngineDefinition engine = known.engine("engines").orElseThrow();
        Map<String, ModelDefinition> unreadable = new AbstractMap<>() {
            @Override
            public Set<Entry<String, ModelDefinition>> entrySet() {
                throw new IllegalStateException("models");
            }
        };
        EngineDefinition failing = new EngineDefinition(
                engine.slots(),
                engine.cacheTokens(),
                engine.weightMegabytes(),
                engine.adapterPlaces(),
                engine.loadsPerSecond(),
                unreadable);
        return FleetConfiguration.of(
                known.version(),
                known.routesByHost().get("host"),
                List.of(
                        new ServiceDefinition("engines", 300, Optional.of(failing)),
                        new ServiceDefinition("payments", 100, Optional.empty())),
                known.limits(),
                List.copyOf(known.workspaces().values()));
    }

    private void tick(Consumer<RuntimeException> onFailure) {
        fixture.nowMillis += TICK_MILLIS;
        Reduction reduction = fixture.reducer.apply(fixture.state, new FleetEvent.Ticked(fixture.nowMillis), onFailure);
        fixture.state = reduction.state();
        effects.addAll(reduction.effects());
    }

    // Guards against a leader that sends no heartbeats and ends no requests because it cannot plan.
    @Test
    void entryGoesOnWithoutTheStepThatFails() {
        long waiting = fixture.call("read");

        for (int ticks = 0; ticks < TICKS; ticks++) {
            tick(failures::add);
        }

        assertThat(failures).isNotEmpty().allMatch(IllegalStateException.class::isInstance);
        assertThat(effects).hasAtLeastOneElementOfType(FleetEffect.SendPeerMessage.class);
        assertThat(effects).hasAtLeastOneElementOfType(FleetEffect.ReadFeed.class);
        assertThat(fixture.state.requests()).doesNotContainKey(waiting);
    }

    // Guards against a state that only this leader has, and that would keep it from planning for good.
    @Test
    void leaderWhosePlanningFailsResigns() {
        tick(failures::add);

        assertThat(failures).hasSize(1);
        assertThat(fixture.state.leadership().fencingToken()).isEmpty();
    }

    @Test
    void failureIsThrownWhereNobodyReceivesIt() {
        assertThatIllegalStateException().isThrownBy(() -> fixture.advance(TICK_MILLIS));
    }

    @Test
    void stepThatFailsLeavesNoEffects() {
        FleetEffect kept = new FleetEffect.WakeAfter(1);
        List<FleetEffect> collected = new ArrayList<>(List.of(kept));

        FleetState end = new TickSteps(fixture.state, collected, failures::add)
                .then(state -> {
                    collected.add(new FleetEffect.WakeAfter(2));
                    throw new IllegalStateException("step");
                })
                .end();

        assertThat(end).isSameAs(fixture.state);
        assertThat(collected).containsExactly(kept);
        assertThat(failures).hasSize(1);
    }
}
