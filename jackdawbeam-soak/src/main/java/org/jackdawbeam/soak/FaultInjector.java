package org.jackdawbeam.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGeneratorFactory;
import org.jackdawbeam.standin.fleet.StoreFaults;

/** Injects the faults of a plan and removes each after its duration, on the threads of the timer. */
final class FaultInjector {
    private static final long SETTLE_MILLIS = 3_000; // time without faults after which guarantees apply again
    private static final long STARTUP_MILLIS = 6_000; // until a process that shares a few cores reaches its store
    private static final long STOP_GRACE_MILLIS = 8_000; // the platform ends a stop that takes longer with SIGKILL
    private static final long DELAY_MILLIS = 150;
    private static final long DRAIN_MILLIS = 4_000;

    private final SoakSite site;
    private final DisturbanceLog disturbances;
    private final GuaranteeChecker checker;
    private final ScheduledExecutorService timer;
    private final Map<Integer, Integer> pendingStops = new HashMap<>();
    private boolean ended;

    FaultInjector(
            SoakSite site, DisturbanceLog disturbances, GuaranteeChecker checker, ScheduledExecutorService timer) {
        this.site = site;
        this.disturbances = disturbances;
        this.checker = checker;
        this.timer = timer;
    }

    /** Injects a fault and schedules its removal. */
    synchronized void begin(Fault fault) {
        if (ended) {
            return;
        }
        int entry = fault.number() % site.entries().size();
        int target = fault.number() % site.targetCount();
        switch (fault.kind().location()) {
            case PROCESS -> beginProcessFault(fault, entry);
            case STORE_LINK -> beginStoreLinkFault(fault, entry);
            case STORE -> beginStoreFault(fault);
            case PEER_LINK -> beginPeerLinkFault(fault, entry);
            case TARGET -> beginTargetFault(fault, target);
            case CONFIGURATION -> checker.recordWithdrawal(site.changeConfiguration());
        }
    }

    private void beginProcessFault(Fault fault, int entry) {
        switch (fault.kind()) {
            case KILL_ENTRY -> kill(entry, fault.durationMillis());
            case KILL_ALL_ENTRIES -> {
                for (int number = 0; number < site.entries().size(); number++) {
                    kill(number, fault.durationMillis());
                }
            }
            case STOP_ENTRY -> stop(entry);
            case PAUSE_ENTRY -> pause(entry, fault.durationMillis());
            case RELOAD_ENTRY -> reload(entry, fault.number() % 2 == 0);
            default -> throw new IllegalArgumentException(fault.toString());
        }
    }

    private void beginStoreLinkFault(Fault fault, int entry) {
        FaultProxy proxy = site.storeProxy(entry);
        switch (fault.kind()) {
            case SILENCE_STORE_OF_ENTRY -> hold(proxy, name(entry), true, true, fault.durationMillis());
            case REFUSE_STORE_OF_ENTRY -> {
                recordDisturbance(name(entry), fault.durationMillis());
                proxy.refuse(true);
                after(fault.durationMillis(), () -> proxy.refuse(false));
            }
            default -> throw new IllegalArgumentException(fault.toString());
        }
    }

    private void beginStoreFault(Fault fault) {
        switch (fault.kind()) {
            case REFUSE_STORE -> enableStoreFault(store()::refuse, fault.durationMillis());
            case SILENCE_STORE -> enableStoreFault(store()::silence, fault.durationMillis());
            case LOSE_STORE_ANSWERS -> enableStoreFault(store()::loseAnswers, fault.durationMillis());
            case DELAY_STORE -> {
                for (int number = 0; number < site.entries().size(); number++) {
                    delay(site.storeProxy(number), GuaranteeChecker.STORE, fault.durationMillis());
                }
            }
            case FORGET_HISTORY -> site.fleet().forgetHistory();
            default -> throw new IllegalArgumentException(fault.toString());
        }
    }

    private void beginPeerLinkFault(Fault fault, int entry) {
        FaultProxy proxy = site.peerProxy(entry);
        switch (fault.kind()) {
            case SILENCE_PEERS -> hold(proxy, name(entry), true, true, fault.durationMillis());
            case CUT_PEERS_ONE_WAY -> hold(proxy, name(entry), false, true, fault.durationMillis());
            case RESET_PEERS -> {
                recordDisturbance(name(entry), 0);
                proxy.reset();
            }
            case DELAY_PEERS -> delay(proxy, name(entry), fault.durationMillis());
            default -> throw new IllegalArgumentException(fault.toString());
        }
    }

    private void beginTargetFault(Fault fault, int target) {
        FaultProxy proxy = site.targetProxy(target);
        switch (fault.kind()) {
            case SILENCE_TARGET -> hold(proxy, GuaranteeChecker.TARGETS, true, true, fault.durationMillis());
            case CUT_TARGET_ONE_WAY -> hold(proxy, GuaranteeChecker.TARGETS, false, true, fault.durationMillis());
            case RESET_TARGET -> {
                recordDisturbance(GuaranteeChecker.TARGETS, 0);
                proxy.reset();
            }
            case DELAY_TARGET -> delay(proxy, GuaranteeChecker.TARGETS, fault.durationMillis());
            case CRASH_TARGET -> {
                recordDisturbance(GuaranteeChecker.TARGETS, fault.durationMillis());
                site.fleet().crash(target);
                after(fault.durationMillis(), () -> site.restartTarget(target));
            }
            case SECOND_ANSWERS -> {
                recordDisturbance(GuaranteeChecker.TARGETS, fault.durationMillis() + SETTLE_MILLIS);
                proxy.answerTwice(Optional.of(
                        RandomGeneratorFactory.of("L64X128MixRandom").create(fault.number())));
                after(fault.durationMillis(), () -> proxy.answerTwice(Optional.empty()));
            }
            case DRAIN_TARGET -> {
                site.fleet().targets().get(target).drain();
                after(Math.max(fault.durationMillis(), DRAIN_MILLIS), () -> {
                    recordDisturbance(GuaranteeChecker.TARGETS, 0);
                    site.restartTarget(target);
                });
            }
            default -> throw new IllegalArgumentException(fault.toString());
        }
    }

    /** Removes all faults and starts all entries and targets that are down. */
    synchronized void endAll() {
        ended = true;
        store().refuse(false);
        store().silence(false);
        store().loseAnswers(false);
        for (int number = 0; number < site.entries().size(); number++) {
            removeFaults(site.storeProxy(number));
            removeFaults(site.peerProxy(number));
            site.writeSettings(number, true);
            site.entries().get(number).signal("CONT");
        }
        recordDisturbance(GuaranteeChecker.TARGETS, 0);
        for (int number = 0; number < site.targetCount(); number++) {
            removeFaults(site.targetProxy(number));
            site.restartTarget(number);
        }
        for (int number = 0; number < site.entries().size(); number++) {
            EntryProcess entry = site.entries().get(number);
            if (pendingStops.getOrDefault(number, 0) > 0 && entry.isRunning()) {
                entry.awaitExitOrKill(STOP_GRACE_MILLIS);
            }
            if (!entry.isRunning()) {
                entry.start();
            }
        }
    }

    /** Returns whether the entry has been stopped, or is being stopped, by a fault. */
    synchronized boolean isBeingStopped(int entry) {
        return ended || pendingStops.getOrDefault(entry, 0) > 0;
    }

    private static void removeFaults(FaultProxy proxy) {
        proxy.refuse(false);
        proxy.hold(false, false);
        proxy.delay(0);
        proxy.answerTwice(Optional.empty());
    }

    private void kill(int entry, long millis) {
        recordDisturbance(name(entry), millis + STARTUP_MILLIS);
        pendingStops.merge(entry, 1, Integer::sum);
        site.entries().get(entry).kill();
        after(millis, () -> restart(entry));
    }

    private void stop(int entry) {
        EntryProcess process = site.entries().get(entry);
        if (!process.isRunning() || pendingStops.getOrDefault(entry, 0) > 0) {
            return;
        }
        pendingStops.merge(entry, 1, Integer::sum);
        long requestedAt = System.currentTimeMillis();
        process.signal("TERM");
        Thread.ofVirtual().start(() -> {
            Optional<Integer> exitCode = process.awaitExitOrKill(STOP_GRACE_MILLIS);
            boolean undisturbed = disturbances.isUndisturbed(
                    Set.of(name(entry)), requestedAt - SETTLE_MILLIS, System.currentTimeMillis());
            if (undisturbed && !exitCode.equals(Optional.of(0))) {
                checker.recordViolation("planned_stop", name(entry) + " exit_code_in_time=" + exitCode);
            }
            recordDisturbance(name(entry), STARTUP_MILLIS);
            restart(entry);
        });
    }

    private synchronized void restart(int entry) {
        int pending = pendingStops.merge(entry, -1, Integer::sum);
        if (!ended && pending == 0) {
            site.entries().get(entry).awaitExit(STOP_GRACE_MILLIS);
            site.entries().get(entry).start();
        }
    }

    private void pause(int entry, long millis) {
        recordDisturbance(name(entry), millis);
        site.entries().get(entry).signal("STOP");
        after(millis, () -> site.entries().get(entry).signal("CONT"));
    }

    private void reload(int entry, boolean valid) {
        site.writeSettings(entry, valid);
        site.entries().get(entry).signal("HUP");
        after(SETTLE_MILLIS, () -> site.writeSettings(entry, true));
    }

    private void hold(FaultProxy proxy, String location, boolean requests, boolean answers, long millis) {
        recordDisturbance(location, millis);
        proxy.hold(requests, answers);
        after(millis, () -> proxy.hold(false, false));
    }

    private void enableStoreFault(Consumer<Boolean> fault, long millis) {
        recordDisturbance(GuaranteeChecker.STORE, millis);
        fault.accept(true);
        after(millis, () -> fault.accept(false));
    }

    private void delay(FaultProxy proxy, String location, long millis) {
        recordDisturbance(location, millis);
        proxy.delay(DELAY_MILLIS);
        after(millis, () -> proxy.delay(0));
    }

    private void recordDisturbance(String location, long millis) {
        long now = System.currentTimeMillis();
        disturbances.record(location, now, now + millis + SETTLE_MILLIS);
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
