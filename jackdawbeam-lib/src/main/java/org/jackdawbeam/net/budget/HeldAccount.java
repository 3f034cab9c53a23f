package org.jackdawbeam.net.budget;

import java.util.function.Consumer;
import org.jackdawbeam.logic.budget.Holding;

/** What one connection holds of the budget of its process. Guarded by the budget. */
public final class HeldAccount implements Holding, AutoCloseable {
    private final ConnectionBudget budget;
    private final Consumer<Phase> onEviction;
    private long held;
    private long ofRequest;
    private long phaseNumber;
    private Phase phase = Phase.IDLE;
    private boolean evicted;

    HeldAccount(ConnectionBudget budget, Consumer<Phase> onEviction) {
        this.budget = budget;
        this.onEviction = onEviction;
    }

    /** Adds bytes; this connection or another one may be evicted for them. */
    public void add(long bytes) {
        budget.add(this, bytes);
    }

    /** Adds bytes to the request that is being received. */
    public void addToRequest(long bytes) {
        ofRequest += bytes;
        budget.add(this, bytes);
    }

    /** Ends the request that is being received and returns its bytes, which are released later. */
    public long endRequest() {
        long bytes = ofRequest;
        ofRequest = 0;
        return bytes;
    }

    /** Releases bytes. */
    public void release(long bytes) {
        budget.add(this, -bytes);
    }

    /** Begins a phase. */
    public void begin(Phase next) {
        budget.begin(this, next);
    }

    /** Returns whether the connection is being closed for the budget. */
    public boolean isEvicted() {
        return evicted;
    }

    @Override
    public long heldBytes() {
        return held;
    }

    @Override
    public Phase phase() {
        return phase;
    }

    @Override
    public long phaseNumber() {
        return phaseNumber;
    }

    @Override
    public void close() {
        budget.close(this);
    }

    void change(long bytes) {
        held += bytes;
    }

    void begin(Phase next, long number) {
        phase = next;
        phaseNumber = number;
    }

    void evict() {
        evicted = true;
        onEviction.accept(phase);
    }
}
