package org.jackdawbeam.bench.fleet;

import java.util.List;
import java.util.Random;
import org.jackdawbeam.bench.harness.EventQueue;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;

/** Injects faults at random times, drawn from a seed, and can end all of them. */
final class FleetFaultInjector {
    private static final double MEAN_INTERVAL_MILLIS = 900;
    private static final double MIN_FAULT_MILLIS = 300;
    private static final double FAULT_SPREAD_MILLIS = 8_000;
    private static final double MEAN_RESTORE_MILLIS = 15_000;
    private static final double MAX_COPY_AGE_MILLIS = 6_000;
    private static final double MAX_REWRITE_DELAY_MILLIS = 1_500; // operators react quickly to a restored store
    private static final double EXPIRY_MILLIS = 3_600; // three heartbeat intervals of an engine
    private static final double MEAN_EVACUATION_MILLIS = 8_000;
    private static final double MEAN_VERSION_MILLIS = 5_000;
    private static final int FAULT_KINDS = 12;

    private final EventQueue queue;
    private final FleetSimulation fleet;
    private final SimulatedTargets targets;
    private final FleetInvariantChecker checker;
    private final Random random;
    private final double endMillis;
    private long version = 1;
    private VersionContents contents = VersionContents.all();

    FleetFaultInjector(
            EventQueue queue,
            FleetSimulation fleet,
            SimulatedTargets targets,
            FleetInvariantChecker checker,
            Random random,
            double endMillis) {
        this.queue = queue;
        this.fleet = fleet;
        this.targets = targets;
        this.checker = checker;
        this.random = random;
        this.endMillis = endMillis;
    }

    void start() {
        targets.setFaultProbabilities(0.15, 0.05, 0.05);
        fleet.setLostAnswerProbability(0.1);
        scheduleNext();
    }

    /** Restores the store from older copies at random times; the operator then rewrites the newest configuration. */
    void startRestores(Random restores) {
        fleet.store().reportEra();
        scheduleNextRestore(restores);
    }

    private void scheduleNextRestore(Random restores) {
        queue.after(restores.nextDouble() * 2 * MEAN_RESTORE_MILLIS, () -> {
            if (queue.nowMillis() < endMillis - MAX_COPY_AGE_MILLIS) {
                SimulatedStore.Copy copy = fleet.store().copy();
                queue.after(restores.nextDouble() * MAX_COPY_AGE_MILLIS, () -> {
                    fleet.store().restore(copy);
                    queue.after(restores.nextDouble() * MAX_REWRITE_DELAY_MILLIS, this::writeConfiguration);
                    queue.after(EXPIRY_MILLIS, this::removeExpiredTargets);
                });
                scheduleNextRestore(restores);
            }
        });
    }

    /** Evacuates a zone at random times and takes it back, the last time when all failures have ended. */
    void startEvacuations(Random evacuations) {
        queue.after(evacuations.nextDouble() * 2 * MEAN_EVACUATION_MILLIS, () -> {
            if (queue.nowMillis() < endMillis) {
                String zone = FleetSearchSite.EVACUATED_ZONE;
                fleet.store().write(Feed.CONFIGURATION, new FeedEntry.ZoneEvacuated(zone));
                checker.evacuated(zone);
                queue.after(MIN_FAULT_MILLIS + evacuations.nextDouble() * 2 * MEAN_EVACUATION_MILLIS, () -> {
                    fleet.store().write(Feed.CONFIGURATION, new FeedEntry.ZoneEvacuationEnded(zone));
                    checker.evacuationEnded(zone);
                    startEvacuations(evacuations);
                });
            }
        });
    }

    /** Writes versions that lack models, routes, services or workspaces; the last one, after all failures, has all. */
    void startVersions(Random versions) {
        queue.after(versions.nextDouble() * 2 * MEAN_VERSION_MILLIS, () -> {
            if (queue.nowMillis() < endMillis) {
                contents = VersionContents.draw(versions);
                changeKey();
                startVersions(versions);
            }
        });
    }

    /** Removes engines that a restored copy lists but that no longer exist and so cannot deregister themselves. */
    private void removeExpiredTargets() {
        List<String> alive = targets.engines().stream()
                .map(engine -> engine.description().id())
                .toList();
        for (FeedEntry entry : fleet.store().newest(Feed.TARGETS).entries()) {
            if (entry instanceof FeedEntry.Target target
                    && target.description().service().equals(FleetSearchSite.ENGINES)
                    && !alive.contains(target.description().id())) {
                fleet.store()
                        .write(
                                Feed.TARGETS,
                                new FeedEntry.TargetRemoved(target.description().id()));
            }
        }
    }

    /** Returns the key that the newest configuration contains in addition to the permanent ones. */
    String changingKey() {
        return key(version);
    }

    private static String key(long version) {
        return "key-" + version;
    }

    private void scheduleNext() {
        queue.after(random.nextDouble() * 2 * MEAN_INTERVAL_MILLIS, () -> {
            if (queue.nowMillis() < endMillis) {
                injectFault();
                scheduleNext();
            }
        });
    }

    private void injectFault() {
        double durationMillis = MIN_FAULT_MILLIS + random.nextDouble() * FAULT_SPREAD_MILLIS;
        SimulatedMember member = pickAny(fleet.members());
        SimulatedEngine engine = pickAny(targets.engines());
        switch (random.nextInt(FAULT_KINDS)) {
            case 0, 1 -> kill(member, durationMillis);
            case 2 -> fleet.members().forEach(each -> kill(each, durationMillis));
            case 3, 4 -> {
                member.pause();
                queue.after(durationMillis, () -> fleet.resume(member));
            }
            case 5 -> {
                member.setCutFromStore(true);
                queue.after(durationMillis, () -> member.setCutFromStore(false));
            }
            case 6 -> {
                member.setCutFromPeers(true);
                queue.after(durationMillis, () -> member.setCutFromPeers(false));
            }
            case 7 -> {
                fleet.setStoreDown(true);
                queue.after(durationMillis, () -> fleet.setStoreDown(false));
            }
            case 8 -> fleet.store().forgetHistory();
            case 9 -> changeKey();
            case 10 -> replaceEngine(engine);
            default -> {
                engine.leave();
                announce(engine);
                queue.after(durationMillis, () -> replaceEngine(engine));
            }
        }
    }

    void heal() {
        targets.setFaultProbabilities(0, 0, 0);
        fleet.setLostAnswerProbability(0);
        fleet.setStoreDown(false);
        for (SimulatedMember member : fleet.members()) {
            member.setCutFromStore(false);
            member.setCutFromPeers(false);
            fleet.resume(member);
            member.start();
        }
        targets.engines().stream().filter(SimulatedEngine::isLeaving).forEach(this::replaceEngine);
        if (!contents.equals(VersionContents.all())) {
            contents = VersionContents.all();
            changeKey();
        }
    }

    void announce(SimulatedEngine engine) {
        fleet.store().write(Feed.TARGETS, new FeedEntry.Target(engine.description()));
    }

    private void replaceEngine(SimulatedEngine engine) {
        fleet.store()
                .write(
                        Feed.TARGETS,
                        new FeedEntry.TargetRemoved(engine.description().id()));
        engine.restart();
        announce(engine);
    }

    private void kill(SimulatedMember member, double durationMillis) {
        if (!member.isUp()) {
            return;
        }
        member.kill();
        queue.after(durationMillis, member::start);
    }

    private void changeKey() {
        String withdrawn = key(version);
        version++;
        writeConfiguration();
        checker.withdrawn(withdrawn);
    }

    private void writeConfiguration() {
        fleet.store()
                .write(
                        Feed.CONFIGURATION,
                        new FeedEntry.Configuration(FleetSearchSite.configuration(version, key(version), contents)));
    }

    private <T> T pickAny(List<T> items) {
        return items.get(random.nextInt(items.size()));
    }
}
