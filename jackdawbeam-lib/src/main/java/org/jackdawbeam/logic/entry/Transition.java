package org.jackdawbeam.logic.entry;

import java.util.List;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The result of reducing an event: the new state and the effects to execute. Immutable.
 *
 * @param state the state after the event
 * @param effects effects in the order in which they must be executed
 */
public record Transition(EntryState state, PVector<Effect> effects) {

    /** Returns a transition without effects. */
    public static Transition to(EntryState state) {
        return new Transition(state, TreePVector.empty());
    }

    /** Returns a copy with an additional effect. */
    public Transition with(Effect effect) {
        return new Transition(state, effects.plus(effect));
    }

    /** Returns a copy with additional effects. */
    public Transition withAll(List<? extends Effect> more) {
        return new Transition(state, effects.plusAll(more));
    }

    /** Returns a copy with a changed state. */
    public Transition map(UnaryOperator<EntryState> change) {
        return new Transition(change.apply(state), effects);
    }

    /** Applies a further step to the current state and appends its effects. */
    public Transition then(Function<EntryState, Transition> step) {
        Transition next = step.apply(state);
        return new Transition(next.state, effects.plusAll(next.effects));
    }
}
