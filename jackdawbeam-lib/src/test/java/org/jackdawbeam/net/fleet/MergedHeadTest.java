package org.jackdawbeam.net.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.jackdawbeam.model.fleet.RouteKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Targets that send a second answer which is cut off at each place of its head, and then answer the next request on the
 * same connection.
 */
class MergedHeadTest extends RelayHarness {
    private static final String SECOND_ANSWER =
            "HTTP/1.1 STATUS Reason\r\ncontent-type: text/plain\r\nid: ID\r\nseal: s\r\ncontent-length: 5\r\n\r\n";
    private static final String NEXT_ANSWER =
            "HTTP/1.1 STATUS Błąd\r\nid: ID\r\nseal: own\r\ncontent-length: 3\r\n\r\nown";
    private static final String FIRST_BODY = "right";
    private static final long SEPARATE_READ_MILLIS = 4;
    private static final int CALLERS = 6;
    private static final int CALLER_TIMEOUT_MILLIS = 4_000;
    private static final int TIMEOUT_FOR_THE_REST_OF_A_HEAD_MILLIS = 400;

    /** Where the beginning of the second answer arrives. */
    private enum Place {
        WITH_THE_FIRST_ANSWER,
        WHILE_IDLE,
        BEFORE_THE_NEXT_ANSWER,
        WITH_THE_NEXT_ANSWER
    }

    // Guards against one head that is made of two: the status of a second answer to an earlier request, and the id,
    // seal and body of the next answer.
    @ParameterizedTest
    @CsvSource({
        "200, 500, WITH_THE_FIRST_ANSWER",
        "200, 500, WHILE_IDLE",
        "200, 500, BEFORE_THE_NEXT_ANSWER",
        "200, 500, WITH_THE_NEXT_ANSWER",
        "500, 200, WITH_THE_FIRST_ANSWER",
        "500, 200, WHILE_IDLE",
        "500, 200, BEFORE_THE_NEXT_ANSWER",
        "500, 200, WITH_THE_NEXT_ANSWER",
    })
    void callersGetTheStatusThatTheTargetGaveTheirRequest(int cutStatus, int nextStatus, Place place) throws Exception {
        String second = SECOND_ANSWER.replace("STATUS", String.valueOf(cutStatus));
        String next = NEXT_ANSWER.replace("STATUS", String.valueOf(nextStatus));
        Queue<String> wrong = new ConcurrentLinkedQueue<>();
        AtomicInteger sealed = new AtomicInteger();
        int timeoutMillis =
                place == Place.WITH_THE_FIRST_ANSWER ? CALLER_TIMEOUT_MILLIS : TIMEOUT_FOR_THE_REST_OF_A_HEAD_MILLIS;
        List<Future<Void>> outcomes = new ArrayList<>();
        start(RouteKind.SAFE, false, (socket, id, number) -> respond(socket, id, number, second, next, place));

        try (ExecutorService callers = Executors.newFixedThreadPool(CALLERS)) {
            for (int cut = 1; cut <= second.length(); cut++) {
                int bytes = cut;
                outcomes.add(callers.submit(() -> {
                    String answer = callTwice("first-" + bytes, "next-" + bytes, timeoutMillis);
                    if (!answer.contains("seal: own")) {
                        return null;
                    }
                    sealed.incrementAndGet();
                    if (!answer.startsWith("HTTP/1.1 " + nextStatus) || !answer.endsWith("\r\n\r\nown")) {
                        wrong.add("after \"" + second.substring(0, bytes) + "\": " + answer);
                    }
                    return null;
                }));
            }
        }
        for (Future<Void> outcome : outcomes) {
            outcome.get();
        }

        assertThat(wrong).isEmpty();
        // With the first answer the beginning is noticed before the next request, which then has a new connection.
        int expected = place == Place.WITH_THE_FIRST_ANSWER ? second.length() : 1;
        assertThat(sealed).hasValueGreaterThanOrEqualTo(expected);
    }

    private static void respond(Socket socket, String id, int number, String second, String next, Place place)
            throws IOException {
        int cut = Integer.parseInt(id.substring(id.indexOf('-') + 1));
        String part = second.substring(0, cut);
        if (id.startsWith("first")) {
            send(socket, answer(id, FIRST_BODY) + (place == Place.WITH_THE_FIRST_ANSWER ? part : ""));
            if (place == Place.WHILE_IDLE) {
                sleep(SEPARATE_READ_MILLIS);
                send(socket, part);
            }
            return;
        }
        boolean reused = number > 1;
        if (reused && place == Place.BEFORE_THE_NEXT_ANSWER) {
            send(socket, part);
            sleep(SEPARATE_READ_MILLIS);
        }
        send(socket, (reused && place == Place.WITH_THE_NEXT_ANSWER ? part : "") + next.replace("ID", id));
    }

    /** Sends two requests, the second some time after the first answer, and returns what comes for the second. */
    private String callTwice(String first, String next, int timeoutMillis) throws IOException {
        try (Socket socket = new Socket(LOOPBACK, server.port())) {
            socket.setSoTimeout(timeoutMillis);
            send(socket, "GET /x HTTP/1.1\r\nhost: host\r\nid: " + first + "\r\n\r\n");
            readHead(socket.getInputStream());
            socket.getInputStream().readNBytes(FIRST_BODY.length());
            sleep(3 * SEPARATE_READ_MILLIS);
            send(socket, "GET /x HTTP/1.1\r\nhost: host\r\nid: " + next + "\r\nconnection: close\r\n\r\n");
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (SocketTimeoutException e) {
            return ""; // the rest of the second answer's head was awaited, which is no wrong answer
        }
    }
}
