package org.jackdawbeam.soak;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGeneratorFactory;

/** One soak run: sends load to entry processes, injects the faults of a seed and checks the guarantees. */
public final class SoakRun {
    private static final int CALLERS_PER_ENTRY = 5;
    private static final long STARTUP_MILLIS = 30_000; // all processes of a run share the cores of one machine
    private static final long RECOVERY_MILLIS = 12_000; // the deployments' limit on recovery time
    private static final long POLL_MILLIS = 100;
    private final long seed;
    private final long lengthMillis;
    private final int entryCount;
    private final Path folder;

    /**
     * Result of a run.
     *
     * @param outcomes number of requests by status code or kind of failure
     * @param violations violated guarantees; empty if all held
     */
    public record Report(long seed, int faults, Map<String, Integer> outcomes, List<String> violations) {}

    /** Creates a run that writes the settings and logs of its entries to the folder. */
    public SoakRun(long seed, long lengthMillis, int entryCount, Path folder) {
        this.seed = seed;
        this.lengthMillis = lengthMillis;
        this.entryCount = entryCount;
        this.folder = folder;
    }

    /** Executes the run and returns its report. */
    public Report run() throws InterruptedException {
        List<Fault> plan = FaultPlan.generate(seed, lengthMillis);
        DisturbanceLog disturbances = new DisturbanceLog();
        try (SoakSite site = new SoakSite(entryCount, folder);
                ScheduledExecutorService timer = Executors.newScheduledThreadPool(2)) {
            GuaranteeChecker checker =
                    new GuaranteeChecker(disturbances, site.fleet().ledger());
            FaultInjector injector = new FaultInjector(site, disturbances, checker, timer);
            site.entries().forEach(EntryProcess::start);
            awaitServing(site, checker, STARTUP_MILLIS, "start");
            disturbances.record(
                    GuaranteeChecker.STORE, System.currentTimeMillis(), System.currentTimeMillis() + POLL_MILLIS);
            List<Caller> callers = createCallers(site, checker);
            List<Thread> threads =
                    callers.stream().map(Thread.ofVirtual()::start).toList();
            long startedAt = System.currentTimeMillis();
            for (Fault fault : plan) {
                waitUntil(startedAt + fault.atMillis(), site, injector, checker);
                injector.begin(fault);
            }
            waitUntil(startedAt + lengthMillis, site, injector, checker);
            injector.endAll();
            awaitServing(site, checker, STARTUP_MILLIS + RECOVERY_MILLIS, "recovery");
            callers.forEach(Caller::stop);
            for (Thread thread : threads) {
                thread.join();
            }
            timer.shutdownNow();
            checker.checkWholeRun();
            return new Report(seed, plan.size(), outcomes(checker), checker.violations());
        }
    }

    private List<Caller> createCallers(SoakSite site, GuaranteeChecker checker) {
        List<Caller> callers = new ArrayList<>();
        for (EntryProcess entry : site.entries()) {
            for (int number = 0; number < CALLERS_PER_ENTRY; number++) {
                Caller caller = new Caller(
                        entry,
                        checker,
                        site::keys,
                        RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 1_000 + callers.size()));
                callers.add(caller);
            }
        }
        return callers;
    }

    /** Waits, and meanwhile reports and restarts entries that have exited unexpectedly. */
    private static void waitUntil(long atMillis, SoakSite site, FaultInjector injector, GuaranteeChecker checker)
            throws InterruptedException {
        do {
            for (int number = 0; number < site.entries().size(); number++) {
                EntryProcess entry = site.entries().get(number);
                if (!injector.isBeingStopped(number) && !entry.isRunning()) {
                    checker.recordViolation("keeps_running", entry.name() + " has ended with " + entry.exitCode());
                    entry.start();
                }
            }
            Thread.sleep(Math.clamp(atMillis - System.currentTimeMillis(), 0, POLL_MILLIS));
        } while (System.currentTimeMillis() < atMillis);
    }

    /** Waits until each entry serves each kind of request; records the violation if one does not in time. */
    private static void awaitServing(SoakSite site, GuaranteeChecker checker, long millis, String violation)
            throws InterruptedException {
        long until = System.currentTimeMillis() + millis;
        for (EntryProcess entry : site.entries()) {
            for (RequestKind kind : RequestKind.values()) {
                while (!serves(entry, kind)) {
                    if (System.currentTimeMillis() > until) {
                        checker.recordViolation(violation, entry.name() + " does not serve " + kind);
                        return;
                    }
                    Thread.sleep(POLL_MILLIS);
                }
            }
        }
    }

    private static boolean serves(EntryProcess entry, RequestKind kind) {
        try (CallerConnection connection = new CallerConnection(entry.callerPort())) {
            Outcome outcome = connection.send(kind.toHttp(GuaranteeChecker.PROBE + UUID.randomUUID(), kind.key()));
            return outcome instanceof Outcome.Answered answered && answered.status() == 200;
        }
    }

    private static Map<String, Integer> outcomes(GuaranteeChecker checker) {
        Map<String, Integer> outcomes = new TreeMap<>();
        for (Call call : checker.calls()) {
            String name = call.outcome().getClass().getSimpleName();
            outcomes.merge(call.status() == 0 ? name : Integer.toString(call.status()), 1, Integer::sum);
        }
        return outcomes;
    }
}
