import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Entries get SIGTERM. Two seconds later, while they still take requests, one client at each asks for a long answer. The
 * engine makes it at once; the client reads it over a slow line, well within its deadline.
 */
final class StoppedEntry {
    private static final String SERVICE = "wuno96b";
    private static final int ENTRIES = 8; // machines of a small deployment
    private static final long GAP_MILLIS = 1_000; // gap_s of roll_term
    private static final long CONTACT_MILLIS = 3_000;
    private static final int LONGER_EACH_ANSWER_BYTES = 12_000;
    private static final int READ_BYTES = 16_384;
    private static final long BYTES_PER_SECOND = 400_000;
    private static final long DEADLINE_MILLIS = 15_000;
    private static final long SENT_AFTER_MILLIS = 2_000; // sooner than 3 s after the SIGTERM

    private static final AtomicInteger whole = new AtomicInteger();
    private static final AtomicInteger cut = new AtomicInteger();
    private static final AtomicInteger other = new AtomicInteger();

    public static void main(String[] arguments) {
        Harness.run(arguments[0], StoppedEntry::run);
    }

    private static int run(Harness harness) throws Exception {
        harness.configure(SERVICE, Harness.route("/cufi504/", "safe", (int) DEADLINE_MILLIS, 2, SERVICE, false));
        for (int number = 1; number <= 3; number++) {
            harness.new Engine("i-" + number, SERVICE, (engine, socket, in, request) -> answer(harness, engine, socket, in, request));
        }
        int size = socketCapacity(harness);
        Harness.sleep(CONTACT_MILLIS);
        List<Harness.Entry> entries = new ArrayList<>();
        for (int number = 1; number <= ENTRIES; number++) {
            entries.add(harness.startEntry("front-riga-a-" + number));
        }
        harness.awaitReady();
        Harness.sleep(CONTACT_MILLIS);
        List<Thread> clients = new ArrayList<>();
        for (Harness.Entry entry : entries) {
            if (Harness.TROUBLE) {
                entry.signal("TERM");
            }
            size += LONGER_EACH_ANSWER_BYTES;
            int bytes = size;
            clients.add(Thread.ofVirtual().start(() -> read(harness, entry, bytes)));
            Harness.sleep(GAP_MILLIS);
        }
        for (Thread client : clients) {
            client.join();
        }
        String summary = "answers whole at the client " + whole + ", cut " + cut + ", no answer begun " + other;
        harness.record(summary);
        System.out.println(summary);
        return whole.get() + cut.get() == 0 ? Harness.NOT_RUN : cut.get() > 0 ? Harness.BROKEN : Harness.HELD;
    }

    /**
     * Returns how many bytes of an answer the sockets between an entry and a client take that does not read yet: what
     * still arrives after the process has been killed. It depends on the system.
     */
    private static int socketCapacity(Harness harness) throws Exception {
        Harness.Entry entry = harness.startEntry("front-riga-b-1");
        harness.awaitReady();
        int taken = 0;
        try (Socket socket = ask(harness, entry, harness.newRequestId(), 8_000_000)) {
            Harness.sleep(1_000);
            entry.end();
            InputStream in = socket.getInputStream();
            Harness.Http.readHead(in);
            for (int read = 0; read >= 0; taken += read) {
                read = in.readNBytes(READ_BYTES).length;
                if (read == 0) {
                    break;
                }
            }
        }
        harness.record("a connection to a client that does not read takes " + taken + " bytes of an answer");
        return taken;
    }

    private static Socket ask(Harness harness, Harness.Entry entry, String id, int size) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(READ_BYTES);
        socket.connect(new InetSocketAddress(Harness.loopback(), entry.front), 1_000);
        socket.setSoTimeout((int) DEADLINE_MILLIS);
        socket.getOutputStream().write(("GET /cufi504/" + size + " HTTP/1.1\r\nHost: " + Harness.HOST + "\r\nRequest-Id: "
                + id + "\r\nDeadline-Ms: " + DEADLINE_MILLIS + "\r\nApi-Key: " + Harness.KEY + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    private static void read(Harness harness, Harness.Entry entry, int size) {
        Harness.sleep(SENT_AFTER_MILLIS);
        String id = harness.newRequestId();
        long sentAt = harness.now();
        long bytes = 0;
        boolean begun = false;
        String end = "";
        try (Socket socket = ask(harness, entry, id, size)) {
            InputStream in = socket.getInputStream();
            Harness.Http.Head head = Harness.Http.readHead(in);
            begun = head.start().contains(" 200 ");
            long length = Long.parseLong(head.header("content-length"));
            byte[] part = new byte[READ_BYTES];
            long start = harness.now();
            while (bytes < length) {
                int read = in.read(part, 0, (int) Math.min(READ_BYTES, length - bytes));
                if (read < 0) {
                    break;
                }
                bytes += read;
                harness.sleepUntil(start + bytes * 1_000 / BYTES_PER_SECOND);
            }
        } catch (IOException e) {
            end = " " + e.getMessage();
        }
        boolean complete = begun && bytes == size;
        (complete ? whole : begun ? cut : other).incrementAndGet();
        harness.record("client: " + id + " sent at " + sentAt + " ms through " + entry.name + " has " + bytes + " of "
                + size + " bytes after " + (harness.now() - sentAt) + " ms" + end
                + (begun && !complete ? "  <- the connection ended without a complete answer" : ""));
    }

    private static boolean answer(
            Harness harness, Harness.Engine engine, Socket socket, InputStream in, Harness.Http.Head request)
            throws IOException {
        Harness.Http.readBody(in, request);
        String path = request.start().split(" ")[1];
        int size = Integer.parseInt(path.substring(path.lastIndexOf('/') + 1));
        socket.getOutputStream().write(engine.head(request, size).getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(new byte[size]);
        harness.record(engine.id + " has made and sent the whole answer to " + request.header("request-id"));
        return true;
    }
}
