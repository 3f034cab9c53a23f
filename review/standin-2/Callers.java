import java.io.IOException;
import java.io.PrintWriter;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/** Clients that keep their connections open and send one request after another, each to one entry. */
final class Callers implements AutoCloseable {
    /** A request as its client has seen it; the status is 0 if there was no answer. */
    record Call(String id, String entry, long sentAtMillis, long endedAtMillis, int status, boolean sealed) {}

    private static final int READ_MILLIS = 3_500;
    private static final double JITTER = 0.2;

    private final Map<String, Call> calls = new ConcurrentHashMap<>();
    private final List<Thread> threads = new CopyOnWriteArrayList<>();
    private final AtomicLong lastId = new AtomicLong();
    private final String host;
    private final String key;
    private volatile boolean ended;

    Callers(String host, String key) {
        this.host = host;
        this.key = key;
    }

    Map<String, Call> calls() {
        return calls;
    }

    /** Writes what was sent and answered, and what was run, by the id of the request. */
    void write(PrintWriter record, long startedAtMillis, Map<String, String> runs) {
        calls.values().stream()
                .sorted(Comparator.comparingLong(Call::sentAtMillis).thenComparing(Call::id))
                .forEach(call -> record.println("request " + call.id() + " to " + call.entry() + " sent at "
                        + (call.sentAtMillis() - startedAtMillis) + " ms, answered " + call.status() + " at "
                        + (call.endedAtMillis() - startedAtMillis) + " ms, "
                        + runs.getOrDefault(call.id(), "not run")));
    }

    /**
     * Starts a client.
     *
     * @param periodMillis time between the starts of two requests, unless an answer takes longer
     * @param bodyBytes returns the size of the next request's body
     */
    void start(String entry, String method, String path, long periodMillis, IntSupplier bodyBytes) {
        start(entry, method, path, periodMillis, bodyBytes, Map::of);
    }

    /** Starts a client that sends further headers. */
    void start(
            String entry,
            String method,
            String path,
            long periodMillis,
            IntSupplier bodyBytes,
            Supplier<Map<String, String>> further) {
        threads.add(Thread.ofVirtual().start(() -> run(entry, method, path, periodMillis, bodyBytes, further)));
    }

    /** Starts many users, who send requests at a steady rate whether or not others have their answers. */
    void startUsers(
            String entry,
            String method,
            String path,
            long periodMillis,
            IntSupplier bodyBytes,
            Supplier<Map<String, String>> further) {
        threads.add(Thread.ofVirtual().start(() -> {
            while (!ended) {
                threads.add(Thread.ofVirtual().start(
                        () -> close(send(null, entry, method, path, bodyBytes, further))));
                sleep(periodMillis);
            }
        }));
    }

    private void run(
            String entry,
            String method,
            String path,
            long periodMillis,
            IntSupplier bodyBytes,
            Supplier<Map<String, String>> further) {
        Http.Client client = null;
        Random random = new Random(lastId.incrementAndGet());
        sleep(random.nextLong(periodMillis));
        while (!ended) {
            long sentAt = System.currentTimeMillis();
            client = send(client, entry, method, path, bodyBytes, further);
            long period = Math.round(periodMillis * (1 + JITTER * (2 * random.nextDouble() - 1)));
            sleep(Math.max(1, period - (System.currentTimeMillis() - sentAt)));
        }
        close(client);
    }

    /** Sends a request on the connection, or on a new one, and returns the connection if it can be used again. */
    private Http.Client send(
            Http.Client kept,
            String entry,
            String method,
            String path,
            IntSupplier bodyBytes,
            Supplier<Map<String, String>> further) {
        Http.Client client = kept;
        String id = "c" + Long.toHexString(0x1000_0000L + lastId.incrementAndGet());
        byte[] body = new byte[bodyBytes.getAsInt()];
        java.util.Arrays.fill(body, (byte) 'x');
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", host);
        headers.put("Request-Id", id);
        headers.put("Deadline-Ms", "3000");
        headers.put("Api-Key", key);
        headers.putAll(further.get());
        long sentAt = System.currentTimeMillis();
        int status = 0;
        boolean sealed = false;
        try {
            if (client == null) {
                client = new Http.Client(entry, 1_000, READ_MILLIS);
            }
            Http.Message answer = client.send(method, path, headers, body);
            status = answer.status();
            sealed = !answer.header("server-seal").isEmpty();
            if (answer.header("connection").equalsIgnoreCase("close")) {
                client = close(client);
            }
        } catch (IOException e) {
            client = close(client);
        }
        calls.put(id, new Call(id, entry, sentAt, System.currentTimeMillis(), status, sealed));
        return client;
    }

    private static Http.Client close(Http.Client client) {
        try {
            if (client != null) {
                client.close();
            }
        } catch (IOException e) {
            // It is not used any more.
        }
        return null;
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        ended = true;
        for (Thread thread : threads) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
