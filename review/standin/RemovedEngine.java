import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store is down for some seconds. When it has been stable again for contactMs, an engine leaves without a report
 * that it drains, as some do: its entry is removed, it serves on for drainMs and a little longer, and ends.
 */
final class RemovedEngine {
    private static final String SERVICE = "wuno96b";
    private static final int ENTRIES = 3;
    private static final int ENGINES = 12;
    private static final int ROUNDS = 7;
    private static final int LEAVING_IN_A_ROUND = 2;
    private static final int CLIENTS_AT_AN_ENTRY = 4;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long LINGER_MILLIS = 500;
    private static final long SHORTEST_DOWN_MILLIS = 2_600;
    private static final long LONGER_EACH_ROUND_MILLIS = 200; // 3.8 s at most; for_s of platform_down is 4.5
    private static final long WORK_MILLIS = 86;
    private static final int ANSWER_BYTES = 800;

    private static final Map<String, Long> removedAt = new ConcurrentHashMap<>();
    private static final Map<String, String> ranAt = new ConcurrentHashMap<>();
    private static final AtomicInteger late = new AtomicInteger();
    private static final AtomicInteger lost = new AtomicInteger();
    private static final AtomicInteger served = new AtomicInteger();

    public static void main(String[] arguments) {
        Harness.run(arguments[0], RemovedEngine::run);
    }

    private static int run(Harness harness) throws Exception {
        harness.configure(SERVICE, Harness.route("/puxa403/", "unsafe", 3_000, 1, SERVICE, false));
        List<Harness.Engine> engines = new ArrayList<>();
        for (int number = 1; number <= ENGINES; number++) {
            engines.add(start(harness, number));
            Harness.sleep(Harness.BEAT_MILLIS / ENGINES); // engines beat at different times
        }
        List<Harness.Entry> entries = new ArrayList<>();
        for (int number = 1; number <= ENTRIES; number++) {
            entries.add(harness.startEntry("front-riga-a-" + number));
        }
        harness.awaitReady();
        AtomicBoolean stop = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        for (Harness.Entry entry : entries) {
            for (int number = 0; number < CLIENTS_AT_AN_ENTRY; number++) {
                clients.add(Thread.ofVirtual().start(() -> sendAll(harness, entry, stop)));
            }
        }
        Harness.sleep(2_000);
        for (int round = 0; round < ROUNDS; round++) {
            long downMillis = SHORTEST_DOWN_MILLIS + LONGER_EACH_ROUND_MILLIS * round;
            if (Harness.TROUBLE) {
                harness.store.setSilent(true);
                Harness.sleep(downMillis);
                harness.store.setSilent(false);
            } else {
                Harness.sleep(downMillis);
            }
            long stableAt = harness.now() + CONTACT_MILLIS;
            for (int number = 0; number < LEAVING_IN_A_ROUND; number++) {
                engines.add(start(harness, engines.size() + 1)); // the new one first
                Harness.sleep(70);
            }
            for (int number = 0; number < LEAVING_IN_A_ROUND; number++) {
                harness.sleepUntil(stableAt + 50 + 150L * number);
                leave(harness, engines.get(round * LEAVING_IN_A_ROUND + number));
            }
            harness.sleepUntil(stableAt + 200 + DRAIN_MILLIS + LINGER_MILLIS);
            Harness.sleep(2_500);
        }
        stop.set(true);
        for (Thread client : clients) {
            client.join();
        }
        harness.record("served " + served + ", at an engine later than drainMs after it had left the list " + late
                + ", of these never answered by the engine, as it had ended " + lost);
        System.out.println("served " + served + ", late at an engine that had left " + late + ", of these lost " + lost);
        if (served.get() < 500) {
            return Harness.NOT_RUN;
        }
        return late.get() > 0 ? Harness.BROKEN : Harness.HELD;
    }

    /** The engine leaves the list, serves on for drainMs and a little longer, and ends. */
    private static void leave(Harness harness, Harness.Engine engine) {
        removedAt.put(engine.id, engine.removeEntry());
        Thread.ofVirtual().start(() -> {
            harness.sleepUntil(removedAt.get(engine.id) + DRAIN_MILLIS + LINGER_MILLIS);
            try {
                engine.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private static Harness.Engine start(Harness harness, int number) throws IOException {
        return harness.new Engine("i-" + number, SERVICE, (engine, socket, in, request) -> answer(harness, engine, socket, in, request));
    }

    private static void sendAll(Harness harness, Harness.Entry entry, AtomicBoolean stop) {
        try (Harness.Client client = harness.new Client(entry.front)) {
            while (!stop.get()) {
                String id = harness.newRequestId();
                long sentAt = harness.now();
                Harness.Answer answer = client.send("POST", "/puxa403/2f", id, 3_000, new byte[600]);
                if (answer.isComplete() && answer.status() == 200) {
                    served.incrementAndGet();
                } else if (ranAt.containsKey(id)) {
                    lost.incrementAndGet();
                    harness.record("client: " + id + " sent at " + sentAt + " ms through " + entry.name + " was taken by "
                            + ranAt.get(id) + " late and ended with status " + answer.status() + " " + answer.failure());
                }
                Harness.sleep(answer.status() == 200 ? 40 : 200);
            }
        }
    }

    private static boolean answer(Harness harness, Harness.Engine engine, Socket socket, InputStream in, Harness.Http.Head request)
            throws IOException {
        Harness.Http.readBody(in, request);
        Long removed = removedAt.get(engine.id);
        if (removed != null && harness.now() > removed + DRAIN_MILLIS) {
            late.incrementAndGet();
            ranAt.put(request.header("request-id"), engine.id);
            harness.record(engine.id + " gets " + request.header("request-id") + " " + (harness.now() - removed)
                    + " ms after the store accepted that it had left  <- later than drainMs");
        }
        engine.running.incrementAndGet();
        Harness.sleep(WORK_MILLIS);
        engine.running.decrementAndGet();
        socket.getOutputStream().write((engine.head(request, ANSWER_BYTES) + "y".repeat(ANSWER_BYTES)).getBytes(StandardCharsets.ISO_8859_1));
        return true;
    }
}
