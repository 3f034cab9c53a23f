package org.jackdawbeam.standin.fleet;

import java.util.concurrent.atomic.AtomicBoolean;

/** Faults of an emulated store, set at run time. Thread-safe. */
public final class StoreFaults {
    private final AtomicBoolean refusing = new AtomicBoolean();
    private final AtomicBoolean silent = new AtomicBoolean();
    private final AtomicBoolean losingAnswers = new AtomicBoolean();

    /** Sets whether the store responds to all calls with 503 without executing them. */
    public void refuse(boolean on) {
        refusing.set(on);
    }

    /** Sets whether the store ignores all calls. */
    public void silence(boolean on) {
        silent.set(on);
    }

    /** Sets whether the store executes appends and then closes the connection without a response. */
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
