package org.jackdawbeam.soak;

import java.util.UUID;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Sends random kinds of requests to one entry. Mostly reuses its connection until the entry closes it. */
final class Caller implements Runnable {
    private static final long THINK_MILLIS = 60;
    private static final long RETRY_MILLIS = 100;
    private static final double FRESH_CONNECTION_SHARE = 0.1;
    private static final double ROTATED_KEY_SHARE = 0.3;

    private final EntryProcess entry;
    private final GuaranteeChecker checker;
    private final Supplier<RotatedKeys> keys;
    private final RandomGenerator random;
    private volatile boolean stopped;

    /** The newest key that configuration changes have added, and the key before it, which they have withdrawn. */
    record RotatedKeys(String newest, String withdrawn) {}

    Caller(EntryProcess entry, GuaranteeChecker checker, Supplier<RotatedKeys> keys, RandomGenerator random) {
        this.entry = entry;
        this.checker = checker;
        this.keys = keys;
        this.random = random;
    }

    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        try (CallerConnection connection = new CallerConnection(entry.callerPort())) {
            while (!stopped) {
                if (random.nextDouble() < FRESH_CONNECTION_SHARE) {
                    connection.close();
                }
                Call call = send(connection, randomKind());
                Thread.sleep(call.status() == 200 ? random.nextLong(THINK_MILLIS) : RETRY_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private RequestKind randomKind() {
        RequestKind[] kinds = RequestKind.values();
        return kinds[random.nextInt(kinds.length)];
    }

    private Call send(CallerConnection connection, RequestKind kind) {
        String id = UUID.randomUUID().toString();
        String key = kind.key();
        if (kind == RequestKind.READ && random.nextDouble() < ROTATED_KEY_SHARE) {
            RotatedKeys current = keys.get();
            key = random.nextBoolean() ? current.newest() : current.withdrawn();
        }
        boolean keptConnection = connection.isUsed();
        int incarnation = entry.incarnation();
        long sentAt = System.currentTimeMillis();
        Outcome outcome = connection.send(kind.toHttp(id, key));
        Call call = new Call(
                id, kind, key, entry.name(), incarnation, keptConnection, sentAt, System.currentTimeMillis(), outcome);
        checker.check(call);
        return call;
    }
}
