package org.jackdawbeam.standin.fleet;

import java.util.concurrent.atomic.AtomicBoolean;

/** Switches for what a store does wrong. */
public final class StoreFaults {
    private final AtomicBoolean refusing = new AtomicBoolean();
    private final AtomicBoolean silent = new AtomicBoolean();
    private final AtomicBoolean losingAnswers = new AtomicBoolean();

    /** Answers all calls with 503 and does nothing. */
    public void refuse(boolean on) {
        refusing.set(on);
    }

    /** Answers nothing and does nothing. */
    public void silence(boolean on) {
        silent.set(on);
    }

    /** Carries out appends and does not answer them. */
    public void loseAnswers(boolean on) {
        losingAnswers.set(on);
    }

    boolean isRefusing() {
        return refusing.get();
    }

    boolean isSilent() {
        return silent.get();
    }

    boolean isLosingAnswers() {
        return losingAnswers.get();
    }
}
