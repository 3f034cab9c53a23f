import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Long requests to a plain service. Some engines give a few of their answers before they have read the whole request,
 * with no length, and break them off. No client may take such an answer for a complete one.
 */
final class TruncatedAnswer {
    private static final String SERVICE = "wuno96b";
    private static final int ENGINES = 5;
    private static final int GARBLING_ENGINES = 3; // share of garble: 0.6 of the engines
    private static final int BREAK_OFF_EVERY = 70; // at most x of garble: 0.03 of the answers of an engine
    private static final int CLIENTS = 5;
    private static final int REQUESTS_OF_A_CLIENT = 40;
    private static final int REQUEST_BYTES = 4_000_000; // within maxBodyBytes
    private static final byte[] ANSWER = "0123456789abcdef".repeat(50).getBytes(StandardCharsets.UTF_8);

    private static final Set<String> spoiled = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger broken = new AtomicInteger();
    private static final AtomicInteger complete = new AtomicInteger();

    public static void main(String[] arguments) {
        Harness.run(arguments[0], TruncatedAnswer::run);
    }

    private static int run(Harness harness) throws Exception {
        harness.configure(SERVICE, Harness.route("/puxa403/", "unsafe", 5_000, 1, SERVICE, false));
        for (int number = 1; number <= ENGINES; number++) {
            boolean garbles = number <= GARBLING_ENGINES;
            AtomicInteger answers = new AtomicInteger();
            harness.new Engine("i-" + number, SERVICE, (engine, socket, in, request) ->
                    Harness.TROUBLE && garbles && answers.getAndIncrement() % BREAK_OFF_EVERY == 0
                            ? breakOff(harness, engine, socket, request)
                            : answerWhole(harness, engine, socket, in, request));
        }
        Harness.Entry entry = harness.startEntry("front-riga-a-1");
        harness.awaitReady();
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            clients.add(Thread.ofVirtual().start(() -> sendAll(harness, entry)));
        }
        for (Thread client : clients) {
            client.join();
        }
        String summary = "answers whole " + complete + ", broken off by an engine " + spoiled.size()
                + ", of these complete to the client " + broken;
        harness.record(summary);
        System.out.println(summary);
        if (complete.get() < CLIENTS * REQUESTS_OF_A_CLIENT / 2 || Harness.TROUBLE && spoiled.isEmpty()) {
            return Harness.NOT_RUN;
        }
        return broken.get() > 0 ? Harness.BROKEN : Harness.HELD;
    }

    private static void sendAll(Harness harness, Harness.Entry entry) {
        byte[] body = new byte[REQUEST_BYTES];
        Arrays.fill(body, (byte) 'x');
        try (Harness.Client client = harness.new Client(entry.front)) {
            for (int number = 0; number < REQUESTS_OF_A_CLIENT; number++) {
                String id = harness.newRequestId();
                Harness.Answer answer = client.send("POST", "/puxa403/2f", id, 5_000, body);
                boolean success = answer.isComplete() && answer.status() / 100 == 2;
                boolean whole = Arrays.equals(answer.body(), ANSWER);
                (success && whole ? complete : success ? broken : new AtomicInteger()).incrementAndGet();
                harness.record("client: " + id + " status " + answer.status()
                        + (answer.isComplete()
                                ? ", complete, " + answer.body().length + " bytes, seal "
                                        + answer.head().header("server-seal")
                                : ", " + answer.failure())
                        + (success && !whole ? "  <- a success with a part of the engine's body" : ""));
            }
        }
    }

    /** Answers early, with no length, and resets the connection half-way. */
    private static boolean breakOff(Harness harness, Harness.Engine engine, Socket socket, Harness.Http.Head request)
            throws IOException {
        String id = request.header("request-id");
        spoiled.add(id);
        harness.record(engine.id + " runs " + id + ": answers early, with no length, and resets half-way");
        socket.getOutputStream().write(engine.head(request, -1).getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(ANSWER, 0, ANSWER.length / 2);
        Harness.sleep(400);
        socket.setSoLinger(true, 0);
        socket.close();
        return false;
    }

    /** Reads the request to its end, and answers whole, with a length. */
    private static boolean answerWhole(
            Harness harness, Harness.Engine engine, Socket socket, InputStream in, Harness.Http.Head request)
            throws IOException {
        harness.record(engine.id + " runs " + request.header("request-id"));
        Harness.Http.readBody(in, request);
        Harness.sleep(20);
        socket.getOutputStream().write(engine.head(request, ANSWER.length).getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(ANSWER);
        return true;
    }
}
