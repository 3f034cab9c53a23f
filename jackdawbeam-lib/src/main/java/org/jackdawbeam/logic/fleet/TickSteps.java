package org.jackdawbeam.logic.fleet;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/** Runs the steps of a tick one after the other. A step that fails changes nothing, and the next ones run. */
final class TickSteps {
    private final List<FleetEffect> effects;
    private final Consumer<RuntimeException> onFailure;
    private FleetState state;

    /**
     * Begins a tick.
     *
     * @param effects receives the effects of the steps
     * @param onFailure receives the exception of each step that fails
     */
    TickSteps(FleetState state, List<FleetEffect> effects, Consumer<RuntimeException> onFailure) {
        this.state = state;
        this.effects = effects;
        this.onFailure = onFailure;
    }

    TickSteps then(UnaryOperator<FleetState> step) {
        return then(step, UnaryOperator.identity());
    }

    /** Runs a step, and another one in its place if it fails. */
    TickSteps then(UnaryOperator<FleetState> step, UnaryOperator<FleetState> otherwise) {
        int effectsBefore = effects.size();
        try {
            state = step.apply(state);
        } catch (RuntimeException e) {
            effects.subList(effectsBefore, effects.size()).clear();
            onFailure.accept(e);
            state = otherwise.apply(state);
        }
        return this;
    }

    FleetState end() {
        return state;
    }
}
