package org.jackdawbeam.net.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiPredicate;
import java.util.stream.Stream;
import org.jackdawbeam.model.fleet.RouteKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Targets whose answers have a head that is no valid HTTP, sent in one piece and cut in two at each byte. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class MalformedHeadTest extends RelayHarness {
    private static final String FIELDS = "\r\nid: ID#\r\nseal: s\r\ncontent-length: 15\r\n\r\n";
    private static final String BODY = "id: 1\ndata: a\n\n";
    private static final int ATTEMPTS = 2;
    private static final int CALLERS = 6;
    private static final int SHOWN_FAILURES = 5;

    private static final List<String> INVALID_STATUS_LINES = List.of(
            "HTTP/1.1 000 Unknown",
            "HTTP/1.1 000",
            "HTTP/1.1 000 Unknown\r\nnot-executed: 1",
            "HTTP/1.1 000 Unknown\r\nid: ID#\r\nseal: s\r\ncontent-length: 0\r\n\r\nHTTP/1.1 200 OK",
            "HTTP/1.1 0 Unknown",
            "HTTP/1.1 00 Unknown",
            "HTTP/1.1 99 Unknown",
            "HTTP/1.1 099 Unknown",
            "HTTP/1.1 20 OK",
            "HTTP/1.1 2 00",
            "HTTP/1.1 1000 Unknown",
            "HTTP/1.1 2000 OK",
            "HTTP/1.1 0200 OK",
            "HTTP/1.1 00200 OK",
            "HTTP/1.1 +200 OK",
            "HTTP/1.1 -200 OK",
            "HTTP/1.1 2x0 OK",
            "HTTP/1.1 OK",
            "HTTP/1.1",
            "HTTP/1.1 600 Unknown",
            "HTTP/1.1 999 Unknown");

    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String SHORT_LENGTH = "id: ID#\r\nseal: s\r\ncontent-lengthEND 3\r\n\r\n";

    /** Heads with a space or tab within a field name, or between the name and its colon. */
    private static final List<String> WHITESPACE_IN_NAMES = List.of(
            OK + "x trace: v" + FIELDS,
            OK + "x\ttrace: v" + FIELDS,
            OK + "x-trace : v" + FIELDS,
            OK + "x-trace\t: v" + FIELDS,
            OK + SHORT_LENGTH.replace("END", " x:"),
            OK + SHORT_LENGTH.replace("END", " :"),
            OK + "id x: ID#\r\nseal: s\r\ncontent-length: 15\r\n\r\n",
            OK + "id: ID#\r\nseal x: s\r\ncontent-length: 15\r\n\r\n",
            OK + "server-leaving x: 1" + FIELDS,
            OK + "not-executed x: 1" + FIELDS,
            OK + "not-executed : 1" + FIELDS,
            "HTTP/1.1 503 Busy\r\nnot-executed x: 1" + FIELDS,
            "HTTP/1.1 503 Busy\r\nnot-executed\t: 1" + FIELDS,
            "HTTP/1.1 429 Busy\r\nnot-executed : 1" + FIELDS,
            "HTTP/1.1 103 Early Hints\r\nx link: a\r\n\r\nHTTP/1.1 200 OK" + FIELDS);

    /** Heads with a name that the decoder rejects by itself. */
    private static final List<String> OTHER_INVALID_NAMES = List.of(
            OK + "x\u0000trace: v" + FIELDS,
            OK + "x\u0001trace: v" + FIELDS,
            OK + "x\u000btrace: v" + FIELDS,
            OK + "x\ftrace: v" + FIELDS,
            OK + "x\rtrace: v" + FIELDS,
            OK + "x\u007ftrace: v" + FIELDS,
            OK + "x\u0080trace: v" + FIELDS,
            OK + "x\u00e9trace: v" + FIELDS,
            OK + "x(trace: v" + FIELDS,
            OK + "x\"trace: v" + FIELDS,
            OK + "x/trace: v" + FIELDS,
            OK + ": v" + FIELDS,
            OK + "x-trace" + FIELDS,
            OK + " x-trace: v" + FIELDS,
            OK + "\tx-trace: v" + FIELDS);

    private static final List<String> VALID_HEADS = List.of(
            "HTTP/1.1 200 OK" + FIELDS,
            "HTTP/1.1 200" + FIELDS,
            "HTTP/1.1 200 " + FIELDS,
            "HTTP/1.1 299 Unusual" + FIELDS,
            "HTTP/1.1 204 No Content\r\nid: ID#\r\nseal: s\r\n\r\n",
            "HTTP/1.1 205 Reset Content\r\nid: ID#\r\nseal: s\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 304 Not Modified\r\nid: ID#\r\nseal: s\r\n\r\n",
            "HTTP/1.1 418 Unusual" + FIELDS,
            "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK" + FIELDS,
            OK + "!#$%&'*+-.^_`|~09azAZ: v" + FIELDS,
            OK + "x-trace:v" + FIELDS,
            OK + "x-trace: \tv \t" + FIELDS,
            OK + "x-trace:" + FIELDS,
            OK + "x-trace: a b: c" + FIELDS,
            OK + "x-trace: v\r\n folded x: v" + FIELDS);

    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();
    private final Queue<String> wrong = new ConcurrentLinkedQueue<>();

    private enum TestRoute {
        UNSAFE(RouteKind.UNSAFE, false),
        STREAM(RouteKind.STREAMING, false),
        RESUMABLE_STREAM(RouteKind.STREAMING, true),
        SAFE(RouteKind.SAFE, false);

        private final RouteKind kind;
        private final boolean resumable;

        TestRoute(RouteKind kind, boolean resumable) {
            this.kind = kind;
            this.resumable = resumable;
        }

        private boolean isRepeatable() {
            return kind == RouteKind.SAFE || resumable;
        }
    }

    static Stream<Arguments> invalidStatusLines() {
        return onEachRoute(INVALID_STATUS_LINES.stream().map(line -> line + FIELDS));
    }

    static Stream<Arguments> whitespaceInNames() {
        return onEachRoute(WHITESPACE_IN_NAMES.stream());
    }

    static Stream<Arguments> otherInvalidNames() {
        return onEachRoute(OTHER_INVALID_NAMES.stream());
    }

    static Stream<Arguments> validHeads() {
        return onEachRoute(VALID_HEADS.stream());
    }

    private static Stream<Arguments> onEachRoute(Stream<String> heads) {
        return heads.map(head -> hasBody(head) ? head + BODY : head)
                .flatMap(answer -> Stream.of(TestRoute.values()).map(route -> Arguments.of(route, answer)));
    }

    private static boolean hasBody(String head) {
        return head.contains("content-length") && !head.endsWith("content-length: 0\r\n\r\n");
    }

    // Guards against a status such as 000, which callers got as an answer.
    @ParameterizedTest
    @MethodSource("invalidStatusLines")
    void answerWithoutAValidStatusIsAFailure(TestRoute route, String answer) throws Exception {
        assertHeld(route, answer);
    }

    // Guards against a field that counts by the part of its name before whitespace, such as an id, a length, or the
    // statement that the request has not run.
    @ParameterizedTest
    @MethodSource("whitespaceInNames")
    void answerWithWhitespaceInAFieldNameIsAFailure(TestRoute route, String answer) throws Exception {
        assertHeld(route, answer);
    }

    @ParameterizedTest
    @MethodSource("otherInvalidNames")
    void answerWithAnotherInvalidFieldNameIsAFailure(TestRoute route, String answer) throws Exception {
        assertHeld(route, answer);
    }

    @ParameterizedTest
    @ValueSource(strings = {"x trace: v", "x-trace : v", "x-trace\t: v", "x\u0001trace: v", " x-trace: v", ": v"})
    void answerWithAnInvalidFieldNameInItsTrailerIsBrokenOff(String trailer) throws Exception {
        start(RouteKind.SAFE, false, (socket, id, number) -> {
            send(socket, OK + "id: " + id + "\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n");
            send(socket, "0\r\n" + trailer + "\r\n\r\n");
        });

        assertThat(call("1")).contains("hello").doesNotContain("\r\n0\r\n");
    }

    @Test
    void answerWithATrailerIsRelayed() throws Exception {
        start(RouteKind.SAFE, false, (socket, id, number) -> {
            send(socket, OK + "id: " + id + "\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n");
            send(socket, "0\r\nx-trace: v\r\n\r\n");
        });

        assertThat(call("1")).contains("hello").endsWith("\r\n0\r\n\r\n");
    }

    @ParameterizedTest
    @MethodSource("validHeads")
    void answerWithAValidHeadIsRelayed(TestRoute route, String answer) throws Exception {
        String status = answer.substring(answer.lastIndexOf("HTTP/1.1 ")).substring(0, "HTTP/1.1 200".length());
        boolean hasBody = answer.endsWith(BODY);

        callWithEachCut(route, answer, (id, received) -> {
            boolean relayed = received.startsWith(status)
                    && received.contains("seal: s\r\n")
                    && received.contains("\r\n" + (hasBody ? BODY : ""));
            return relayed && executions.get(id).get() == 1;
        });

        assertThat(wrong).isEmpty();
    }

    // Guards against a stream that looks complete, or goes on with another head, where its next part is malformed.
    @Test
    void streamWhoseNextPartHasNoValidStatusIsBrokenOff() throws Exception {
        assertBrokenOff("HTTP/1.1 000 Unknown" + FIELDS);
    }

    @Test
    void streamWhoseNextPartHasWhitespaceInAFieldNameIsBrokenOff() throws Exception {
        assertBrokenOff(OK + "content-type x: text/event-stream" + FIELDS);
    }

    private void assertBrokenOff(String nextPart) throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        start(RouteKind.STREAMING, true, (socket, id, number) -> {
            if (attempts.incrementAndGet() == 1) {
                send(socket, "HTTP/1.1 200 OK\r\nid: " + id + "\r\nseal: s\r\n\r\n" + BODY);
                sleep();
                socket.setSoLinger(true, 0);
                socket.close();
            }
            send(socket, nextPart.replace("ID#", id) + "id: 2\ndata: b\n\n");
        });

        String received = call("1");

        assertThat(attempts).hasValueGreaterThan(1);
        assertThat(received).contains("data: a").doesNotContain("data: b").doesNotContain("\r\n0\r\n");
    }

    private void assertHeld(TestRoute route, String answer) throws Exception {
        callWithEachCut(route, answer, (id, received) -> {
            int runs = executions.get(id).get();
            boolean failed = route.isRepeatable()
                    ? received.matches("(?s)HTTP/1.1 50[23] .*") && runs <= ATTEMPTS
                    : received.startsWith("HTTP/1.1 502 ") && runs == 1;
            return failed && !received.contains("seal");
        });

        assertThat(wrong).isEmpty();
    }

    /** Sends a request for each place of the answer and one for the whole, and collects unexpected outcomes by id. */
    private void callWithEachCut(TestRoute route, String answer, BiPredicate<String, String> isExpected)
            throws Exception {
        start(route.kind, route.resumable, (socket, id, number) -> respond(socket, id, answer));
        List<Future<Void>> outcomes = new ArrayList<>();
        try (ExecutorService callers = Executors.newFixedThreadPool(CALLERS)) {
            for (int cut = 0; cut < answer.length(); cut++) {
                String id = String.format("%03d", cut); // as long as its placeholder, so that cuts stay in place
                executions.put(id, new AtomicInteger());
                outcomes.add(callers.submit(() -> {
                    if (wrong.size() >= SHOWN_FAILURES) {
                        return null;
                    }
                    String received = call(id);
                    if (!isExpected.test(id, received)) {
                        wrong.add("cut at " + id + ", executed " + executions.get(id) + " times: " + received);
                    }
                    return null;
                }));
            }
        }
        for (Future<Void> outcome : outcomes) {
            outcome.get();
        }
    }

    private void respond(Socket socket, String id, String answer) throws IOException {
        executions.get(id).incrementAndGet();
        String own = answer.replace("ID#", id);
        int cut = Integer.parseInt(id);
        socket.setTcpNoDelay(true);
        if (cut > 0) {
            write(socket, own.substring(0, cut));
            sleep(1);
        }
        write(socket, own.substring(cut));
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
