package org.jackdawbeam.soak;

import java.util.UUID;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Sends requests of all kinds to one entry, and keeps using an open connection until the entry closes it. */
final class Caller implements Runnable {
    private static final long THINK_MILLIS = 60;
    private static final long RETRY_MILLIS = 100;
    private static final double FRESH_CONNECTION_SHARE = 0.1;
    private static final double LATEST_KEY_SHARE = 0.3;

    private final EntryProcess entry;
    private final Promises promises;
    private final Supplier<Keys> keys;
    private final RandomGenerator random;
    private volatile boolean stopped;

    /** The newest key that comes and goes with configurations, and the one before, which was withdrawn. */
    record Keys(String newest, String withdrawn) {}

    Caller(EntryProcess entry, Promises promises, Supplier<Keys> keys, RandomGenerator random) {
        this.entry = entry;
        this.promises = promises;
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
                Call call = send(connection, draw());
                Thread.sleep(call.status() == 200 ? random.nextLong(THINK_MILLIS) : RETRY_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private RequestKind draw() {
        RequestKind[] kinds = RequestKind.values();
        return kinds[random.nextInt(kinds.length)];
    }

    private Call send(CallerConnection connection, RequestKind kind) {
        String id = UUID.randomUUID().toString();
        String key = kind.key();
        if (kind == RequestKind.READ && random.nextDouble() < LATEST_KEY_SHARE) {
            Keys current = keys.get();
            key = random.nextBoolean() ? current.newest() : current.withdrawn();
        }
        boolean kept = connection.isUsed();
        int incarnation = entry.incarnation();
        long sentAt = System.currentTimeMillis();
        Outcome outcome = connection.send(kind.text(id, key));
        Call call =
                new Call(id, kind, key, entry.name(), incarnation, kept, sentAt, System.currentTimeMillis(), outcome);
        promises.judge(call);
        return call;
    }
}
