package org.jackdawbeam.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * An entry process before a crowd that sends requests of legal size. Heap, memory and descriptors are smaller than
 * those of a host, and so is the crowd. An ordinary request has to be answered within 20 s after the crowd has left.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class BoundedMemoryTest {
    /** Memory of the smallest host of the deployments, and the heap that an entry has there. */
    private static final int HOST_MEGABYTES = 290;

    private static final int HOST_HEAP_MEGABYTES = 160;
    private static final int HEAP_MEGABYTES = 64;
    /** Leaves as much beside the heap as on that host. */
    private static final int MEMORY_MEGABYTES = HOST_MEGABYTES - HOST_HEAP_MEGABYTES + HEAP_MEGABYTES;

    private static final int RESERVED_DESCRIPTORS = 200;
    private static final int DESCRIPTORS = 600;
    private static final int CONNECTIONS = 300;
    private static final int IDLE_CONNECTIONS = 500;
    private static final int HEAD_BYTES = 16_000;
    private static final int BODY_BYTES = 4_194_304;
    private static final int HELD_BODIES = 30;
    private static final int UNFINISHED_BODY_BYTES = 1_048_576;
    private static final int SMALL_CHUNKS = 300_000;
    private static final int PIPELINED_BYTES = 262_144;
    private static final long HOLD_MILLIS = 2_500; // requests may take three seconds to arrive
    private static final long STARTUP_MILLIS = 30_000;
    private static final long RECOVERY_MILLIS = 20_000;

    @TempDir
    private Path folder;

    private static final int ENDLESS_BYTES = 1_000_000_000;

    private final AtomicInteger requests = new AtomicInteger();
    private SoakSite site;
    private EntryProcess entry;

    @BeforeEach
    void start() throws Exception {
        site = new SoakSite(1, folder);
        entry = site.entries().getFirst();
        Path settings = folder.resolve(entry.name() + ".toml");
        String limits = "[limits]\nmemoryMb = " + MEMORY_MEGABYTES + "\nmaxFds = " + DESCRIPTORS;
        entry.writeSettings(Files.readString(settings).replace("[limits]", limits));
        entry.start(List.of("-Xmx" + HEAP_MEGABYTES + "m", "-Xss256k"));
        awaitService(STARTUP_MILLIS);
    }

    @AfterEach
    void stop() {
        site.close();
    }

    private void awaitService(long millis) throws InterruptedException {
        long until = System.currentTimeMillis() + millis;
        while (!serves(RequestKind.PAYMENT)) {
            assertThat(entry.exitCode()).as("exit code").isEmpty();
            assertThat(System.currentTimeMillis())
                    .as("an ordinary request is answered")
                    .isLessThan(until);
            Thread.sleep(100);
        }
    }

    private boolean serves(RequestKind kind) {
        return statusOf(kind.toHttp("ordinary-" + requests.incrementAndGet(), kind.key())) == 200;
    }

    private int statusOf(String request) {
        try (CallerConnection connection = new CallerConnection(entry.callerPort())) {
            return connection.send(request) instanceof Outcome.Answered answered ? answered.status() : 0;
        }
    }

    /** Lets the crowd send, and checks what has to hold meanwhile and afterwards. */
    private void hold(int port, int connections, IntFunction<byte[]> bytes) throws Exception {
        try (Crowd crowd = new Crowd(port)) {
            for (int number = 0; number < connections; number++) {
                crowd.join(bytes.apply(number));
            }
            crowd.send();
            checkWhileHeld();
        }
        awaitService(RECOVERY_MILLIS);
        checkProcess();
    }

    /** Gives the entry time to read what the crowd has sent, while the crowd holds on. */
    private void checkWhileHeld() throws InterruptedException {
        long until = System.currentTimeMillis() + HOLD_MILLIS;
        do {
            checkProcess();
            Thread.sleep(100);
        } while (System.currentTimeMillis() < until);
    }

    private void checkProcess() {
        assertThat(entry.exitCode()).as("exit code").isEmpty();
        assertThat(entry.openDescriptors()).as("descriptors").isLessThan(DESCRIPTORS - RESERVED_DESCRIPTORS);
        assertThat(entry.peakMegabytes()).as("memory").isLessThan(MEMORY_MEGABYTES);
    }

    private static byte[] latin(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String lines(IntFunction<String> line) {
        StringBuilder lines = new StringBuilder();
        for (int number = 0; lines.length() < HEAD_BYTES; number++) {
            lines.append(line.apply(number));
        }
        return lines.toString();
    }

    /** Returns a request whose head has not ended, so that further lines may follow. */
    private static String unfinished(String request) {
        return request.substring(0, request.indexOf("\r\n\r\n") + 2);
    }

    private static String shortName(int number) {
        String name = Integer.toString(number, Character.MAX_RADIX);
        return Character.isDigit(name.charAt(0)) ? "x" + name : name;
    }

    private String head(RequestKind kind) {
        return unfinished(kind.toHttp("crowd-" + requests.incrementAndGet(), kind.key()));
    }

    private String withoutLength(RequestKind kind) {
        return head(kind).replaceAll("(?i)content-length: [0-9]+\r\n", "");
    }

    @Test
    void unfinishedHeadsOfVeryShortLines() throws Exception {
        byte[] bytes = latin("GET /read/x HTTP/1.1\r\n" + lines(number -> "a:\r\n"));
        hold(entry.callerPort(), CONNECTIONS, number -> bytes);
    }

    @Test
    void unfinishedHeadsOfDistinctShortNames() throws Exception {
        byte[] bytes = latin("GET /read/x HTTP/1.1\r\n" + lines(number -> shortName(number) + ":\r\n"));
        hold(entry.callerPort(), CONNECTIONS, number -> bytes);
    }

    @Test
    void unfinishedHeadsOfLinesWithoutColonAndOfFoldedLines() throws Exception {
        byte[] odd = latin("GET /read/x HTTP/1.1\r\n" + lines(number -> "a\r\n"));
        byte[] folded = latin("GET /read/x HTTP/1.1\r\nb: c\r\n" + lines(number -> " a\r\n"));
        hold(entry.callerPort(), CONNECTIONS, number -> number % 2 == 0 ? odd : folded);
    }

    @Test
    void unfinishedHeadsAtTheDirectory() throws Exception {
        byte[] bytes = latin("GET /v1/resolve HTTP/1.1\r\n" + lines(number -> "a:\r\n"));
        hold(entry.directoryPort(), CONNECTIONS, number -> bytes);
    }

    @Test
    void unfinishedMessagesAtThePortForPeers() throws Exception {
        byte[] bytes = new byte[UNFINISHED_BODY_BYTES];
        bytes[0] = 0;
        bytes[1] = (byte) 0xf0; // announces 15 MiB
        hold(entry.peerPort(), CONNECTIONS, number -> bytes);
    }

    @Test
    void headsOfRequestsThatWaitForTheirAnswers() throws Exception {
        String lines = lines(number -> "a:\r\n").substring(0, HEAD_BYTES - 1_000);
        holdAnswers(CONNECTIONS, () -> latin(withoutLength(RequestKind.CHAT) + lines + "\r\n"));
    }

    @Test
    void bodiesOfRequestsThatWaitForTheirAnswers() throws Exception {
        String body = "x".repeat(BODY_BYTES);
        holdAnswers(
                HELD_BODIES,
                () -> latin(withoutLength(RequestKind.CHAT) + "Content-Length: " + BODY_BYTES + "\r\n\r\n" + body));
    }

    private void holdAnswers(int connections, Supplier<byte[]> bytes) throws Exception {
        for (int target = 0; target < site.targetCount(); target++) {
            site.targetProxy(target).hold(false, true);
        }
        try (Crowd crowd = new Crowd(entry.callerPort())) {
            for (int number = 0; number < connections; number++) {
                crowd.join(bytes.get());
                crowd.send();
            }
            checkWhileHeld();
            for (int target = 0; target < site.targetCount(); target++) {
                site.targetProxy(target).hold(false, false);
            }
        }
        awaitService(RECOVERY_MILLIS);
        checkProcess();
    }

    @Test
    void unfinishedBodies() throws Exception {
        String body = "x".repeat(UNFINISHED_BODY_BYTES);
        byte[] bytes = latin(withoutLength(RequestKind.PAYMENT) + "Content-Length: " + BODY_BYTES + "\r\n\r\n" + body);
        hold(entry.callerPort(), CONNECTIONS, number -> bytes);
    }

    @Test
    void bodiesOfVerySmallChunks() throws Exception {
        String chunks = "1\r\nx\r\n".repeat(SMALL_CHUNKS);
        byte[] bytes = latin(withoutLength(RequestKind.PAYMENT) + "Transfer-Encoding: chunked\r\n\r\n" + chunks);
        hold(entry.callerPort(), 4, number -> bytes);
    }

    @Test
    void unfinishedTrailersOfVeryShortLines() throws Exception {
        byte[] bytes = latin(withoutLength(RequestKind.PAYMENT) + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
                + lines(number -> shortName(number) + ":\r\n"));
        hold(entry.callerPort(), CONNECTIONS, number -> bytes);
    }

    @Test
    void pipelinedRequestsWhoseAnswersAreNotRead() throws Exception {
        byte[] bytes = latin("GET /x HTTP/1.1\r\n\r\n".repeat(PIPELINED_BYTES / 19));
        hold(entry.callerPort(), CONNECTIONS, number -> bytes);
    }

    @Test
    void pipelinedRequestsBehindOneThatWaits() throws Exception {
        String many = "GET /x HTTP/1.1\r\n\r\n".repeat(PIPELINED_BYTES / 19);
        holdAnswers(CONNECTIONS, () -> latin(withoutLength(RequestKind.CHAT) + "\r\n" + many));
    }

    @Test
    void largeAnswersThatAreNotRead() throws Exception {
        try (ServerSocket target = endlessTarget()) {
            assertThat(target.isBound()).isTrue();
            Thread.sleep(1_500); // the entry reads the registration
            hold(entry.callerPort(), CONNECTIONS, number -> latin(withoutLength(RequestKind.READ) + "\r\n"));
        }
    }

    private ServerSocket endlessTarget() throws IOException {
        ServerSocket target = new ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(() -> {
            while (!target.isClosed()) {
                try {
                    Socket socket = target.accept();
                    Thread.ofVirtual().start(() -> answerWithoutEnd(socket));
                } catch (IOException e) {
                    // The target has been closed at the end of the test.
                }
            }
        });
        String registration = """
                {"service":"payments","address":"127.0.0.1:%d","zone":"zone-1","version":"1","slots":500,
                 "state":"ready","coldLeftMs":0,"seq":0,"born":1,"models":[]}""".formatted(target.getLocalPort());
        site.fleet().store().put("keyed.servers", "endless", registration.getBytes(StandardCharsets.UTF_8));
        return target;
    }

    private static void answerWithoutEnd(Socket socket) {
        byte[] part = new byte[16_384];
        try (socket) {
            InputStream input = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = input.read();
                if (next < 0) {
                    return;
                }
                head.append((char) next);
            }
            String id = head.toString().replaceAll("(?is).*request-id: ([^\r]*)\r.*", "$1");
            boolean ofTheCrowd =
                    head.toString().startsWith(RequestKind.READ.toHttp("", "").split(" HTTP")[0]);
            int length = ofTheCrowd ? ENDLESS_BYTES : 0;
            socket.getOutputStream()
                    .write(latin("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: s\r\nContent-Length: "
                            + length + "\r\n\r\n"));
            for (int sent = 0; sent < length; sent += part.length) {
                socket.getOutputStream().write(part);
            }
        } catch (IOException e) {
            // The entry has closed the connection.
        }
    }

    @Test
    void manyIdleConnections() throws Exception {
        hold(entry.callerPort(), IDLE_CONNECTIONS, number -> new byte[0]);
    }

    // A single request inside the limits of the configuration is served in calm.
    @Test
    void headOfTheLargestSizeInShortLinesIsServed() {
        String head = withoutLength(RequestKind.PAYMENT);
        String lines = "a:\r\n".repeat((16_384 - head.length() - 200) / 4);

        assertThat(statusOf(head + lines + "Content-Length: 0\r\n\r\n")).isEqualTo(200);
        assertThat(entry.exitCode()).isEmpty();
    }

    @Test
    void bodyOfTheLargestSizeIsServed() {
        String head = withoutLength(RequestKind.PAYMENT);

        int status = statusOf(head + "Content-Length: " + BODY_BYTES + "\r\n\r\n" + "x".repeat(BODY_BYTES));

        assertThat(status).isEqualTo(200);
        assertThat(entry.exitCode()).isEmpty();
    }
}
