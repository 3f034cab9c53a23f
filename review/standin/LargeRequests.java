import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requests for streams, with bodies of the size that the configuration allows, arrive at the usual rate; then many users
 * come at once. The engines are sound and have free slots.
 */
final class LargeRequests {
    private static final String SERVICE = "huvo11a";
    private static final double USUAL_PER_SECOND = 5;
    private static final double BURST_FACTOR = 2.4; // x of burst
    private static final double USUAL_SECONDS = 10;
    private static final double BURST_SECONDS = 4.5; // for_s of burst
    private static final long FIRST_EVENT_MILLIS = 3_000; // half of the deadline
    private static final int EVENTS = 10;
    private static final long EVENT_MILLIS = 100;
    private static final long DEADLINE_MILLIS = 6_000;
    private static final byte[] BODY = new byte[Harness.MAXIMUM_BODY_BYTES];

    private static final AtomicInteger served = new AtomicInteger();
    private static final AtomicInteger refused = new AtomicInteger();
    private static final AtomicInteger cut = new AtomicInteger();
    private static final AtomicInteger tornMidway = new AtomicInteger();
    private static final AtomicInteger notTaken = new AtomicInteger();
    private static final Set<String> passedOn = ConcurrentHashMap.newKeySet();

    public static void main(String[] arguments) {
        Harness.run(arguments[0], LargeRequests::run);
    }

    private static int run(Harness harness) throws Exception {
        harness.configure(
                SERVICE,
                Harness.route("/lohu930/", "streaming", (int) DEADLINE_MILLIS, 1, SERVICE, false) + ","
                        + Harness.route("/cufi504/", "safe", 3_000, 2, SERVICE, false));
        for (int number = 1; number <= 3; number++) {
            harness.new Engine("i-" + number, SERVICE, (engine, socket, in, request) -> answer(harness, engine, socket, in, request));
        }
        Harness.Entry entry = harness.startEntry("front-riga-a-1");
        harness.awaitReady();
        List<Thread> clients = new ArrayList<>();
        send(harness, entry, clients, USUAL_PER_SECOND, USUAL_SECONDS);
        double factor = Harness.TROUBLE ? BURST_FACTOR : 1;
        harness.record("clients: " + USUAL_PER_SECOND * factor + " requests a second");
        send(harness, entry, clients, USUAL_PER_SECOND * factor, BURST_SECONDS);
        send(harness, entry, clients, USUAL_PER_SECOND, 2);
        for (Thread client : clients) {
            client.join();
        }
        String summary = "served " + served + ", refused " + refused + ", passed on to an engine and closed without an answer "
                + cut + ", torn midway " + tornMidway + ", not taken " + notTaken + ", process alive " + entry.isAlive();
        harness.record(summary);
        System.out.println(summary);
        if (served.get() == 0 || Harness.TROUBLE && served.get() < 20) {
            return Harness.NOT_RUN;
        }
        // LOST: more than three times; a process that ends by itself counts as running, and so in touch, all the while.
        return cut.get() > 3 ? Harness.BROKEN : Harness.HELD;
    }

    private static void send(
            Harness harness, Harness.Entry entry, List<Thread> clients, double perSecond, double seconds) {
        long start = harness.now();
        for (int number = 0; number < perSecond * seconds; number++) {
            harness.sleepUntil(start + Math.round(number * 1_000 / perSecond));
            clients.add(Thread.ofVirtual().start(() -> send(harness, entry)));
        }
        harness.sleepUntil(start + Math.round(seconds * 1_000));
    }

    private static void send(Harness harness, Harness.Entry entry) {
        String id = harness.newRequestId();
        try (Harness.Client client = harness.new Client(entry.front)) {
            client.send("GET", "/cufi504/2f", harness.newRequestId(), 3_000, new byte[0]); // the connection is kept
            Harness.Answer answer = client.send("POST", "/lohu930/2f", id, DEADLINE_MILLIS, BODY);
            boolean lost = answer.status() == 0 && passedOn.contains(id);
            boolean torn = answer.status() != 0 && !answer.isComplete();
            AtomicInteger result = lost
                    ? cut
                    : torn ? tornMidway : !answer.isComplete() ? notTaken : answer.status() == 200 ? served : refused;
            result.incrementAndGet();
            harness.record("client: " + id + " status " + answer.status() + " " + answer.failure()
                    + (lost ? "  <- passed on to a sound engine, and the connection closed without an answer" : ""));
        }
    }

    private static boolean answer(
            Harness harness, Harness.Engine engine, Socket socket, InputStream in, Harness.Http.Head request)
            throws IOException {
        String id = request.header("request-id");
        Harness.Http.readBody(in, request);
        if (request.start().startsWith("GET ")) {
            socket.getOutputStream().write((engine.head(request, 2) + "ok").getBytes(StandardCharsets.ISO_8859_1));
            return true;
        }
        passedOn.add(id);
        harness.record(engine.id + " runs " + id);
        engine.running.incrementAndGet();
        try {
            Harness.sleep(FIRST_EVENT_MILLIS);
            String head = engine.head(request, 0).replace("Content-Length: 0", "Transfer-Encoding: chunked")
                    .replace("text/plain", "text/event-stream");
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            for (int event = 1; event <= EVENTS; event++) {
                String text = "id: " + event + "\ndata: token\n\n";
                socket.getOutputStream().write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                Harness.sleep(EVENT_MILLIS);
            }
            socket.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        } finally {
            engine.running.decrementAndGet();
        }
        return true;
    }
}
