package org.jackdawbeam.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jackdawbeam.standin.fleet.StoreFaults;

/** Carries out the disturbances of a plan and ends them again. Runs on the threads of its timer. */
final class FaultInjector {
    private static final long SETTLE_MILLIS = 3_000; // an undisturbed time after which rules bind again
    private static final long START_MILLIS = 6_000; // a process that shares a few cores reaches its store by then
    private static final long GRACE_MILLIS = 8_000; // a stop that takes longer ends with SIGKILL on the platform
    private static final long DELAY_MILLIS = 150;
    private static final long DRAIN_MILLIS = 4_000;

    private final SoakSite site;
    private final Calm calm;
    private final Promises promises;
    private final ScheduledExecutorService timer;
    private final Map<Integer, Integer> openStops = new HashMap<>();
    private boolean ended;

    FaultInjector(SoakSite site, Calm calm, Promises promises, ScheduledExecutorService timer) {
        this.site = site;
        this.calm = calm;
        this.promises = promises;
        this.timer = timer;
    }

    /** Begins a disturbance; its end is scheduled. */
    synchronized void begin(Fault fault) {
        if (ended) {
            return;
        }
        int entry = fault.number() % site.entries().size();
        int target = fault.number() % site.targetCount();
        switch (fault.kind().place()) {
            case PROCESS -> beginAtProcess(fault, entry);
            case STORE_LINK -> beginAtStoreLink(fault, entry);
            case STORE -> beginAtStore(fault);
            case PEER_LINK -> beginAtPeerLink(fault, entry);
            case TARGET -> beginAtTarget(fault, target);
            case CONFIGURATION -> promises.withdrawn(site.changeConfiguration());
        }
    }

    private void beginAtProcess(Fault fault, int entry) {
        switch (fault.kind()) {
            case KILL_ENTRY -> kill(entry, fault.forMillis());
            case KILL_ALL_ENTRIES -> {
                for (int number = 0; number < site.entries().size(); number++) {
                    kill(number, fault.forMillis());
                }
            }
            case STOP_ENTRY -> stop(entry);
            case PAUSE_ENTRY -> pause(entry, fault.forMillis());
            case RELOAD_ENTRY -> reload(entry, fault.number() % 2 == 0);
            default -> throw new IllegalArgumentException(fault.toString());
        }
    }

    private void beginAtStoreLink(Fault fault, int entry) {
        FaultProxy proxy = site.storeProxy(entry);
        switch (fault.kind()) {
            case SILENCE_STORE_OF_ENTRY -> hold(proxy, name(entry), true, true, fault.forMillis());
            case REFUSE_STORE_OF_ENTRY -> {
                disturb(name(entry), fault.forMillis());
                proxy.refuse(true);
                after(fault.forMillis(), () -> proxy.refuse(false));
            }
            default -> throw new IllegalArgumentException(fault.toString());
        }
    }

    private void beginAtStore(Fault fault) {
        switch (fault.kind()) {
            case REFUSE_STORE -> switchStore(store()::refuse, fault.forMillis());
            case SILENCE_STORE -> switchStore(store()::silence, fault.forMillis());
            case LOSE_STORE_ANSWERS -> switchStore(store()::loseAnswers, fault.forMillis());
            case DELAY_STORE -> {
                for (int number = 0; number < site.entries().size(); number++) {
                    delay(site.storeProxy(number), Promises.STORE, fault.forMillis());
                }
            }
            case FORGET_HISTORY -> site.fleet().forgetHistory();
            default -> throw new IllegalArgumentException(fault.toString());
        }
    }

    private void beginAtPeerLink(Fault fault, int entry) {
        FaultProxy proxy = site.peerProxy(entry);
        switch (fault.kind()) {
            case SILENCE_PEERS -> hold(proxy, name(entry), true, true, fault.forMillis());
            case CUT_PEERS_ONE_WAY -> hold(proxy, name(entry), false, true, fault.forMillis());
            case RESET_PEERS -> {
                disturb(name(entry), 0);
                proxy.reset();
            }
            case DELAY_PEERS -> delay(proxy, name(entry), fault.forMillis());
            default -> throw new IllegalArgumentException(fault.toString());
        }
    }

    private void beginAtTarget(Fault fault, int target) {
        FaultProxy proxy = site.targetProxy(target);
        switch (fault.kind()) {
            case SILENCE_TARGET -> hold(proxy, Promises.TARGETS, true, true, fault.forMillis());
            case CUT_TARGET_ONE_WAY -> hold(proxy, Promises.TARGETS, false, true, fault.forMillis());
            case RESET_TARGET -> {
                disturb(Promises.TARGETS, 0);
                proxy.reset();
            }
            case DELAY_TARGET -> delay(proxy, Promises.TARGETS, fault.forMillis());
            case CRASH_TARGET -> {
                disturb(Promises.TARGETS, fault.forMillis());
                site.fleet().crash(target);
                after(fault.forMillis(), () -> site.restartTarget(target));
            }
            case DRAIN_TARGET -> {
                site.fleet().targets().get(target).drain();
                after(Math.max(fault.forMillis(), DRAIN_MILLIS), () -> {
                    disturb(Promises.TARGETS, 0);
                    site.restartTarget(target);
                });
            }
            default -> throw new IllegalArgumentException(fault.toString());
        }
    }

    /** Ends all disturbances and starts what is down. */
    synchronized void heal() {
        ended = true;
        store().refuse(false);
        store().silence(false);
        store().loseAnswers(false);
        for (int number = 0; number < site.entries().size(); number++) {
            calmDown(site.storeProxy(number));
            calmDown(site.peerProxy(number));
            site.writeSettings(number, true);
            site.entries().get(number).signal("CONT");
        }
        disturb(Promises.TARGETS, 0);
        for (int number = 0; number < site.targetCount(); number++) {
            calmDown(site.targetProxy(number));
            site.restartTarget(number);
        }
        for (int number = 0; number < site.entries().size(); number++) {
            EntryProcess entry = site.entries().get(number);
            if (openStops.getOrDefault(number, 0) > 0 && entry.isRunning()) {
                entry.awaitExitOrKill(GRACE_MILLIS);
            }
            if (!entry.isRunning()) {
                entry.start();
            }
        }
    }

    /** Returns whether the entry is down on purpose, or about to be. */
    synchronized boolean isBeingStopped(int entry) {
        return ended || openStops.getOrDefault(entry, 0) > 0;
    }

    private static void calmDown(FaultProxy proxy) {
        proxy.refuse(false);
        proxy.hold(false, false);
        proxy.delay(0);
    }

    private void kill(int entry, long millis) {
        disturb(name(entry), millis + START_MILLIS);
        openStops.merge(entry, 1, Integer::sum);
        site.entries().get(entry).kill();
        after(millis, () -> restart(entry));
    }

    private void stop(int entry) {
        EntryProcess process = site.entries().get(entry);
        if (!process.isRunning() || openStops.getOrDefault(entry, 0) > 0) {
            return;
        }
        openStops.merge(entry, 1, Integer::sum);
        long askedAt = System.currentTimeMillis();
        process.signal("TERM");
        Thread.ofVirtual().start(() -> {
            Optional<Integer> exitCode = process.awaitExitOrKill(GRACE_MILLIS);
            boolean judged = calm.isCalm(Set.of(name(entry)), askedAt - SETTLE_MILLIS, System.currentTimeMillis());
            if (judged && !exitCode.equals(Optional.of(0))) {
                promises.violated("planned_stop", name(entry) + " exit_code_in_time=" + exitCode);
            }
            disturb(name(entry), START_MILLIS);
            restart(entry);
        });
    }

    private synchronized void restart(int entry) {
        int open = openStops.merge(entry, -1, Integer::sum);
        if (!ended && open == 0) {
            site.entries().get(entry).awaitExit(GRACE_MILLIS);
            site.entries().get(entry).start();
        }
    }

    private void pause(int entry, long millis) {
        disturb(name(entry), millis);
        site.entries().get(entry).signal("STOP");
        after(millis, () -> site.entries().get(entry).signal("CONT"));
    }

    private void reload(int entry, boolean valid) {
        site.writeSettings(entry, valid);
        site.entries().get(entry).signal("HUP");
        after(SETTLE_MILLIS, () -> site.writeSettings(entry, true));
    }

    private void hold(FaultProxy proxy, String place, boolean requests, boolean answers, long millis) {
        disturb(place, millis);
        proxy.hold(requests, answers);
        after(millis, () -> proxy.hold(false, false));
    }

    private void switchStore(Consumer<Boolean> fault, long millis) {
        disturb(Promises.STORE, millis);
        fault.accept(true);
        after(millis, () -> fault.accept(false));
    }

    private void delay(FaultProxy proxy, String place, long millis) {
        disturb(place, millis);
        proxy.delay(DELAY_MILLIS);
        after(millis, () -> proxy.delay(0));
    }

    private void disturb(String place, long millis) {
        long now = System.currentTimeMillis();
        calm.disturb(place, now, now + millis + SETTLE_MILLIS);
    }

    private void after(long millis, Runnable end) {
        timer.schedule(end, millis, TimeUnit.MILLISECONDS);
    }

    private String name(int entry) {
        return site.entries().get(entry).name();
    }

    private StoreFaults store() {
        return site.fleet().store().faults();
    }
}
