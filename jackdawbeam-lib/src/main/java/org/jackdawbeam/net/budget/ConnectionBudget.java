package org.jackdawbeam.net.budget;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.jackdawbeam.logic.budget.BudgetLimits;
import org.jackdawbeam.logic.budget.EvictionOrder;
import org.jackdawbeam.logic.budget.Holding;
import org.jackdawbeam.model.time.MonotonicClock;
import org.tinylog.Logger;

/** Memory and connections that a process spends on all its clients together. Thread-safe. */
public final class ConnectionBudget {
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private final BudgetLimits limits;
    private final IntSupplier targetConnections;
    private final MonotonicClock clock;
    private final Set<HeldAccount> accounts = new HashSet<>();
    private final Map<Reason, Long> evictions = new EnumMap<>(Reason.class);
    private long heldBytes;
    private int busyAccounts;
    private long evictionsNotLogged;
    private long nextLogMillis = Long.MIN_VALUE;
    private long lastPhase;

    /** What a connection was closed for. */
    public enum Reason {
        MEMORY,
        CONNECTIONS
    }

    /**
     * Creates a budget.
     *
     * @param targetConnections returns the number of open connections to targets
     */
    public ConnectionBudget(BudgetLimits limits, IntSupplier targetConnections, MonotonicClock clock) {
        this.limits = limits;
        this.targetConnections = targetConnections;
        this.clock = clock;
    }

    /** Returns a budget that nothing exceeds. */
    public static ConnectionBudget unlimited() {
        return new ConnectionBudget(BudgetLimits.unlimited(), () -> 0, () -> 0);
    }

    /**
     * Opens the account of a connection. For its place, another connection may be evicted, or this one.
     *
     * @param onEviction closes the connection; receives the phase that it is in
     */
    public synchronized HeldAccount open(Consumer<Holding.Phase> onEviction) {
        HeldAccount account = new HeldAccount(this, onEviction);
        accounts.add(account);
        account.begin(Holding.Phase.IDLE, ++lastPhase);
        makeRoomFor(account);
        return account;
    }

    /** Returns the bytes that are held for clients. */
    public synchronized long heldBytes() {
        return heldBytes;
    }

    /** Returns the most bytes that are held for clients. */
    public long limitBytes() {
        return limits.bytes();
    }

    /** Returns how many connections have been closed for a reason. */
    public synchronized long evictions(Reason reason) {
        return evictions.getOrDefault(reason, 0L);
    }

    synchronized void add(HeldAccount account, long bytes) {
        if (!accounts.contains(account)) {
            return;
        }
        account.change(bytes);
        heldBytes += bytes;
        while (bytes > 0 && !account.isEvicted() && !limits.allows(heldBytes, account.heldBytes())) {
            Optional<HeldAccount> victim = EvictionOrder.forMemory(accounts);
            if (victim.isEmpty()) {
                return;
            }
            evict(victim.get(), Reason.MEMORY);
        }
    }

    synchronized void begin(HeldAccount account, Holding.Phase phase) {
        boolean wasBusy = isBusy(account);
        account.begin(phase, ++lastPhase);
        if (!accounts.contains(account) || wasBusy == isBusy(account)) {
            return;
        }
        busyAccounts += wasBusy ? -1 : 1;
        if (!wasBusy) {
            makeRoomFor(account);
        }
    }

    synchronized void close(HeldAccount account) {
        if (accounts.remove(account)) {
            busyAccounts -= isBusy(account) ? 1 : 0;
            heldBytes -= account.heldBytes();
        }
    }

    private static boolean isBusy(HeldAccount account) {
        return account.phase() != Holding.Phase.IDLE;
    }

    /** Counts two connections for one with a request, which needs another one to a target. */
    private void makeRoomFor(HeldAccount account) {
        if (accounts.size() + Math.max(busyAccounts, targetConnections.getAsInt()) > limits.connections()) {
            List<HeldAccount> others =
                    accounts.stream().filter(other -> other != account).toList();
            evict(EvictionOrder.forConnections(others).orElse(account), Reason.CONNECTIONS);
        }
    }

    /** The connection frees what it holds at once, so it no longer counts. */
    private void evict(HeldAccount account, Reason reason) {
        close(account);
        evictions.merge(reason, 1L, Long::sum);
        evictionsNotLogged++;
        long nowMillis = clock.nowMillis();
        if (nowMillis >= nextLogMillis) {
            Logger.warn(
                    "event=connections_closed reason={} count={} held_bytes={} connections={}",
                    reason,
                    evictionsNotLogged,
                    heldBytes,
                    accounts.size());
            evictionsNotLogged = 0;
            nextLogMillis = nowMillis + LOG_INTERVAL_MILLIS;
        }
        account.evict();
    }
}
