package org.jackdawbeam.bench.invariant;

import java.util.List;
import java.util.Random;
import org.jackdawbeam.bench.harness.EventQueue;
import org.jackdawbeam.bench.harness.FakeEngine;
import org.jackdawbeam.bench.harness.Fleet;
import org.jackdawbeam.bench.harness.Node;
import org.jackdawbeam.model.log.LogRecord;

/** Injects faults at random times, drawn from a seed, and can end all of them. */
final class FaultInjector {
    private static final double MEAN_INTERVAL_MILLIS = 1_500;
    private static final double MIN_FAULT_MILLIS = 500;
    private static final double FAULT_SPREAD_MILLIS = 9_000;
    private static final double MAX_LOG_DELAY_MILLIS = 3_000;

    private final EventQueue queue;
    private final Fleet fleet;
    private final InvariantChecker checker;
    private final Random random;
    private final double endMillis;
    private int bundles = 1;

    FaultInjector(EventQueue queue, Fleet fleet, InvariantChecker checker, long seed, double endMillis) {
        this.queue = queue;
        this.fleet = fleet;
        this.checker = checker;
        this.random = new Random(seed);
        this.endMillis = endMillis;
    }

    void start() {
        fleet.setLostAppendAnswers(0.1);
        fleet.setOrderFaults(0.1, 0.2);
        scheduleNext();
    }

    /** Ends all faults. */
    void heal() {
        fleet.log().setUnavailable(false);
        fleet.log().setDelayMillis(0);
        fleet.setLostAppendAnswers(0);
        fleet.setOrderFaults(0, 0);
        fleet.leavingHosts().clear();
        fleet.nodes().forEach(this::heal);
        fleet.engines().values().forEach(engine -> {
            checker.staying(engine.specification().name());
            engine.setSilent(false);
            if (!engine.isUp()) {
                engine.restart();
            }
        });
    }

    private void heal(Node node) {
        node.cutFrom().clear();
        node.resume();
        if (!node.isUp()) {
            node.restart();
        }
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
        Node node = pickAny(fleet.nodes());
        switch (random.nextInt(14)) {
            case 0 -> {
                node.kill();
                queue.after(durationMillis, () -> restart(node));
            }
            case 1, 2 -> {
                node.pause();
                queue.after(durationMillis, node::resume);
            }
            case 3 -> cutPeers(node, durationMillis);
            case 4 -> cut(node, "log", durationMillis);
            case 5 -> {
                fleet.log().setUnavailable(true);
                queue.after(durationMillis, () -> fleet.log().setUnavailable(false));
            }
            case 6 -> cutZone(node.zone(), durationMillis);
            case 7 -> killEngine(pickAny(List.copyOf(fleet.engines().values())), durationMillis);
            case 8 -> leave(pickAny(List.copyOf(fleet.engines().values())), durationMillis);
            case 9 -> withdrawKey();
            case 10 -> rollCompeting();
            case 12 -> {
                fleet.log().setDelayMillis(random.nextDouble() * MAX_LOG_DELAY_MILLIS);
                queue.after(durationMillis, () -> fleet.log().setDelayMillis(0));
            }
            case 11 -> cut(node, pickAny(List.copyOf(fleet.engines().keySet())), durationMillis);
            default -> {
                long head = fleet.log().head();
                fleet.log().expireBefore(Math.max(0, head - 1_500));
            }
        }
    }

    private void restart(Node node) {
        if (!node.isUp()) {
            node.restart();
        }
    }

    private void cut(Node node, String other, double durationMillis) {
        node.cutFrom().add(other);
        queue.after(durationMillis, () -> node.cutFrom().remove(other));
    }

    private void cutPeers(Node node, double durationMillis) {
        for (Node other : fleet.nodes()) {
            if (other != node) {
                cut(node, other.hostId(), durationMillis);
            }
        }
    }

    private void cutZone(String zone, double durationMillis) {
        for (Node node : fleet.nodes()) {
            for (Node other : fleet.nodes()) {
                boolean across = node.zone().equals(zone) && !other.zone().equals(zone);
                if (across) {
                    cut(node, other.hostId(), durationMillis);
                    cut(other, node.hostId(), durationMillis);
                }
            }
        }
    }

    private void killEngine(FakeEngine engine, double durationMillis) {
        if (!engine.isUp()) {
            return;
        }
        engine.kill();
        queue.after(durationMillis, () -> {
            if (!engine.isUp()) {
                engine.restart();
            }
        });
    }

    private void leave(FakeEngine engine, double durationMillis) {
        String name = engine.specification().name();
        if (!fleet.leavingHosts().add(name)) {
            return;
        }
        checker.leaving(name);
        queue.after(durationMillis, () -> {
            fleet.leavingHosts().remove(name);
            checker.staying(name);
        });
    }

    /** Withdraws a key at a node that is fully connected, as an isolated node could not propagate the withdrawal. */
    private void withdrawKey() {
        String keyId = "k" + random.nextInt(InvariantFixture.KEYS - 2);
        fleet.nodes().stream()
                .filter(node ->
                        node.isUp() && !node.isPaused() && node.cutFrom().isEmpty())
                .findFirst()
                .ifPresent(node -> {
                    fleet.submitOperatorRequest(
                            node, new LogRecord.KeyWithdrawn("operator/withdraw-" + queue.nowMillis(), keyId));
                    checker.withdrawn(keyId);
                });
    }

    private void rollCompeting() {
        Node first = pickAny(fleet.nodes());
        Node second = pickAny(fleet.nodes());
        roll(first);
        roll(second);
    }

    private void roll(Node node) {
        int variant = bundles++;
        long basedOn = node.state().log().folded().version();
        fleet.submitOperatorRequest(node, fleet.roll(InvariantFixture.bundle(variant), basedOn, "variant-" + variant));
    }

    private <T> T pickAny(List<T> items) {
        return items.get(random.nextInt(items.size()));
    }
}
