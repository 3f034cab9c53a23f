package org.jackdawbeam.net.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jackdawbeam.model.fleet.RouteKind;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A search with targets that answer a request a second time after a random delay, with the same or another status, and
 * with callers that repeat requests under the same id. Each answer is compared with what the target answered first to
 * the request that the caller sent. The system property {@code requests} sets the number of requests of each kind.
 */
@Timeout(value = 300, unit = TimeUnit.SECONDS)
class RepeatedAnswerTest extends RelayHarness {
    private static final int REQUESTS = Integer.getInteger("requests", 4_000);
    private static final long SEED = Long.getLong("seed", 1);
    private static final int CALLERS = 16;
    private static final long LONGEST_DELAY_MILLIS = 3_000;

    private final ConcurrentMap<Integer, FirstAnswer> firstAnswers = new ConcurrentHashMap<>();
    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final AtomicInteger lastSerial = new AtomicInteger();
    private final AtomicInteger lastRequest = new AtomicInteger();
    private final AtomicInteger lastConnection = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger repeated = new AtomicInteger();

    /** What a target answered first to the request that carries a tag in its path. */
    private record FirstAnswer(String tag, int status) {}

    @ParameterizedTest
    @EnumSource(RouteKind.class)
    void callersGetTheFirstAnswerToTheirOwnRequest(RouteKind kind) throws Exception {
        start(kind, false, (socket, id, number) -> {});
        List<Thread> callers = new ArrayList<>();
        for (int number = 0; number < CALLERS; number++) {
            Random random = new Random(SEED * 1_000 + number);
            callers.add(Thread.ofVirtual().start(() -> callAll(random)));
        }
        for (Thread caller : callers) {
            caller.join();
        }

        assertThat(violations).isEmpty();
        assertThat(served.get()).isGreaterThan(REQUESTS / 2);
        assertThat(repeated.get()).isGreaterThan(REQUESTS / 10);
    }

    @Override
    void acceptAll(Script script) {
        try {
            while (true) {
                Socket socket = target.accept();
                Random random = new Random(SEED * 1_000_003 + lastConnection.incrementAndGet());
                Thread.ofVirtual().start(() -> answerAll(socket, random));
            }
        } catch (IOException e) {
            // The target has been closed at the end of the test.
        }
    }

    private void answerAll(Socket socket, Random random) {
        Queue<String> beforeNext = new ConcurrentLinkedQueue<>();
        try (socket) {
            while (true) {
                String head = readHead(socket.getInputStream());
                if (head.isEmpty()) {
                    return;
                }
                for (String late = beforeNext.poll(); late != null; late = beforeNext.poll()) {
                    write(socket, late, random);
                }
                sleep(random.nextInt(3));
                String tag = head.substring(head.indexOf('?') + 1, head.indexOf(" HTTP"));
                String id = headerOf(head, "id");
                int status = random.nextInt(5) == 0 ? 500 : 200;
                int serial = lastSerial.incrementAndGet();
                firstAnswers.put(serial, new FirstAnswer(tag, status));
                String first = answer(id, serial, status, random.nextBoolean());
                boolean sameStatus = random.nextBoolean();
                String second = sameStatus
                        ? first
                        : answer(id, lastSerial.incrementAndGet(), status == 200 ? 500 : 200, random.nextBoolean());
                switch (random.nextInt(8)) {
                    case 0 -> write(socket, first + second, random);
                    case 1 -> {
                        write(socket, first, random);
                        beforeNext.add(second);
                    }
                    case 2 -> {
                        write(socket, first, random);
                        writeLater(socket, second, new Random(random.nextLong()));
                    }
                    default -> write(socket, first, random);
                }
            }
        } catch (IOException e) {
            // The entry has closed the connection.
        }
    }

    private static void writeLater(Socket socket, String text, Random random) {
        boolean soon = random.nextBoolean();
        long delayMillis = random.nextLong(soon ? 20 : LONGEST_DELAY_MILLIS);
        Thread.ofVirtual().start(() -> {
            sleep(delayMillis);
            try {
                write(socket, text, random);
            } catch (IOException e) {
                // The entry has closed the connection.
            }
        });
    }

    /** Writes an answer, sometimes in two segments. */
    private static void write(Socket socket, String text, Random random) throws IOException {
        synchronized (socket) {
            int cut = random.nextInt(4) == 0 ? random.nextInt(text.length()) : 0;
            send(socket, text.substring(0, cut));
            if (cut > 0) {
                sleep(1 + random.nextInt(3));
            }
            send(socket, text.substring(cut));
        }
    }

    private static String answer(String id, int serial, int status, boolean chunked) {
        String body = "body " + serial;
        String head = "HTTP/1.1 " + status + " X\r\nid: " + id + "\r\nseal: " + serial + "\r\n";
        return chunked
                ? head + "transfer-encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n" + body
                        + "\r\n0\r\n\r\n"
                : head + "content-length: " + body.length() + "\r\n\r\n" + body;
    }

    private void callAll(Random random) {
        String id = "";
        while (lastRequest.get() < REQUESTS) {
            try (Socket socket = new Socket(LOOPBACK, server.port())) {
                socket.setSoTimeout(8_000);
                do {
                    int number = lastRequest.incrementAndGet();
                    boolean repeats = !id.isEmpty() && random.nextInt(4) == 0;
                    repeated.addAndGet(repeats ? 1 : 0);
                    id = repeats ? id : "id-" + number;
                    send(socket, "GET /x?" + number + " HTTP/1.1\r\nhost: host\r\nid: " + id + "\r\n\r\n");
                    judge(String.valueOf(number), id, socket.getInputStream());
                } while (random.nextInt(10) > 0 && lastRequest.get() < REQUESTS);
            } catch (IOException e) {
                // The entry broke the answer off, which is no answer.
            }
        }
    }

    private void judge(String tag, String id, InputStream input) throws IOException {
        String head = readHead(input);
        if (head.isEmpty()) {
            throw new IOException("closed without an answer");
        }
        int status = Integer.parseInt(head.substring(9, 12));
        String body = readBody(head, input);
        String seal = headerOf(head, "seal");
        if (seal.isEmpty()) {
            return;
        }
        served.incrementAndGet();
        FirstAnswer first = firstAnswers.get(Integer.parseInt(seal));
        if (first == null || !first.tag().equals(tag) || first.status() != status || !body.equals("body " + seal)) {
            violations.add("request " + tag + " with " + id + " got " + status + " with seal " + seal + " and body \""
                    + body + "\"; the target gave that seal with " + first);
        }
    }

    private static String readBody(String head, InputStream input) throws IOException {
        if (headerOf(head, "content-length").isEmpty()) {
            StringBuilder body = new StringBuilder();
            for (int size = readChunkSize(input); size > 0; size = readChunkSize(input)) {
                body.append(new String(input.readNBytes(size)));
                input.readNBytes(2);
            }
            input.readNBytes(2);
            return body.toString();
        }
        return new String(input.readNBytes(Integer.parseInt(headerOf(head, "content-length"))));
    }

    private static int readChunkSize(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new IOException("closed inside an answer");
            }
            line.append((char) next);
        }
        return Integer.parseInt(line.toString().trim(), 16);
    }
}
