package org.jackdawbeam.net.entry;

import org.jackdawbeam.logic.entry.EntryState;
import org.jackdawbeam.logic.entry.Event;
import org.jackdawbeam.logic.entry.Transition;

/** Observes the reducer for logs and metrics. Called on the reducer's thread, so it must return quickly. */
public interface TransitionListener {

    /**
     * Called after each applied event.
     *
     * @param nanos time that the reducer and the start of its effects took
     */
    void onTransition(EntryState before, Event event, Transition transition, long nanos);

    /** Called when an event caused an exception. If the reducer threw it, the state is unchanged. */
    void onFailure(Event event, RuntimeException failure);
}
