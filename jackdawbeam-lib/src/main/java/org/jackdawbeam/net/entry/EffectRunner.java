package org.jackdawbeam.net.entry;

import org.jackdawbeam.logic.entry.Effect;

/** Starts the reducer's effects. Called on the reducer's thread; must not block. */
@FunctionalInterface
public interface EffectRunner {

    /** Starts an effect without waiting for its result. */
    void run(Effect effect);
}
