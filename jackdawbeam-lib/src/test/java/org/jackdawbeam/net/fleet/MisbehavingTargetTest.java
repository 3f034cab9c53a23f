package org.jackdawbeam.net.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.jackdawbeam.model.fleet.RouteKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Targets that send endless data, duplicate responses or nothing in time, and hosts whose event loop lags. */
class MisbehavingTargetTest extends RelayHarness {
    /** Sends bytes until the entry closes the connection, and counts them. */
    private static Script endless(String beginning, String again, AtomicLong sent) {
        return (socket, id, number) -> {
            send(socket, beginning.replace("ID", id));
            byte[] bytes = again.repeat(4_096 / again.length()).getBytes(StandardCharsets.UTF_8);
            while (true) {
                socket.getOutputStream().write(bytes);
                sent.addAndGet(bytes.length);
            }
        };
    }

    private void assertFailsQuickly(RouteKind kind, boolean resumable, String beginning, String again)
            throws Exception {
        AtomicLong sent = new AtomicLong();
        start(kind, resumable, endless(beginning, again, sent));
        long startedNanos = System.nanoTime();

        String answer = call("1");

        assertThat(Duration.ofNanos(System.nanoTime() - startedNanos)).isLessThan(Duration.ofSeconds(4));
        assertThat(sent.get()).isLessThan(32 * 1024 * 1024);
        assertThat(answer).doesNotContain("\r\n0\r\n");
    }

    @Test
    void endlessHeadersFailTheRequest() throws Exception {
        assertFailsQuickly(RouteKind.UNSAFE, false, "HTTP/1.1 200 OK\r\n", "x: y\r\n");
    }

    @Test
    void endlessBlankLinesFailTheRequest() throws Exception {
        assertFailsQuickly(RouteKind.UNSAFE, false, "", "\r\n");
    }

    @Test
    void endlessInterimResponsesFailTheRequest() throws Exception {
        assertFailsQuickly(RouteKind.UNSAFE, false, "", "HTTP/1.1 100 Continue\r\n\r\n");
    }

    @Test
    void endlessResponsesToOtherRequestsFailTheRequest() throws Exception {
        assertFailsQuickly(RouteKind.UNSAFE, false, "", answer("another", "wrong"));
    }

    // Guards against bytes without end in each part of a response that the codec keeps until it is whole.
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'HTTP/1.1 200 OK~id: other~seal: s~~' | x",
                "'HTTP/1.1 200 OK~id: ID~seal: s~transfer-encoding: chunked~~5;' | x",
                "'HTTP/1.1 200 OK~id: ID~seal: s~transfer-encoding: chunked~~' | 0",
                "'HTTP/1.1 200 OK~id: ID~seal: s~transfer-encoding: chunked~~0~' | x: y~",
                "'HTTP/1.1 200 OK~id: ID~seal: s~transfer-encoding: chunked~~fffffffff~' | x",
                "'HTTP/1.1 200 ' | x",
                "'HTTP/1.1 200 OK~id: ' | x"
            })
    void endlessPartOfAResponseFailsTheRequest(String beginning, String again) throws Exception {
        assertFailsQuickly(RouteKind.UNSAFE, false, beginning.replace("~", "\r\n"), again.replace("~", "\r\n"));
    }

    @Test
    void endlessStreamWithoutEventsFailsTheRequest() throws Exception {
        assertFailsQuickly(RouteKind.STREAMING, true, "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\n\r\n", "noise");
    }

    @Test
    void connectionThatReceivedAResponseToAnotherRequestIsNotReused() throws Exception {
        start(RouteKind.UNSAFE, false, (socket, id, number) -> {
            if (number == 1 && connections.get() == 1) {
                send(socket, answer("another", "wrong"));
            }
            send(socket, answer(id, "right" + id));
        });

        assertThat(call("1", "2")).contains("right2").doesNotContain("wrong");
        assertThat(connections).hasValue(2);
    }

    @Test
    void duplicateResponseOnAReusedConnectionIsNotRelayed() throws Exception {
        start(RouteKind.UNSAFE, false, (socket, id, number) -> {
            if (number == 2) {
                send(socket, answer("1", "mine1"));
            }
            send(socket, answer(id, "mine" + id));
        });

        assertThat(call("1", "2")).containsOnlyOnce("mine1").contains("mine2");
    }

    // Guards against a late second answer to a request that the caller has sent again under its old id.
    @Test
    void lateAnswerToAnEarlierRequestWithTheSameIdIsNotRelayed() throws Exception {
        AtomicInteger executions = new AtomicInteger();
        start(RouteKind.UNSAFE, false, (socket, id, number) -> {
            if (number == 2) {
                send(socket, answer(id, "first"));
            }
            send(socket, answer(id, executions.incrementAndGet() == 1 ? "first" : "second"));
        });

        assertThat(call("1", "1")).containsOnlyOnce("first").contains("second");
    }

    // Guards against half of a late answer that lies in the decoder while the connection is idle.
    @Test
    void answerThatArrivesInPartWhileTheConnectionIsIdleIsNotRelayed() throws Exception {
        start(RouteKind.UNSAFE, false, (socket, id, number) -> {
            if (number == 2) {
                send(socket, "seal: s\r\ncontent-length: 5\r\n\r\nwrong");
            }
            send(socket, answer(id, "mine" + id));
            if (number == 1) {
                send(socket, "HTTP/1.1 200 OK\r\nid: 1\r\n");
            }
        });

        assertThat(call("1", "2")).contains("mine1").contains("mine2").doesNotContain("wrong");
    }

    // Guards against a repeated refusal by which a request that runs is sent again or refused as not run.
    @Test
    void repeatedRefusalWithoutAnIdIsNotTakenForTheNextResponse() throws Exception {
        AtomicInteger executions = new AtomicInteger();
        start(RouteKind.UNSAFE, false, (socket, id, number) -> {
            if (id.equals("2")) {
                executions.incrementAndGet();
                send(socket, "HTTP/1.1 503 Unavailable\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n");
                sleep();
            }
            send(socket, answer(id, "mine" + id));
        });

        assertThat(call("1", "2")).contains("HTTP/1.1 502").doesNotContain("HTTP/1.1 503");
        assertThat(executions).hasValue(1);
    }

    @Test
    void refusalWithoutAnIdOnANewConnectionIsBelieved() throws Exception {
        start(
                RouteKind.UNSAFE,
                false,
                (socket, id, number) ->
                        send(socket, "HTTP/1.1 503 Unavailable\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n"));

        assertThat(call("1")).startsWith("HTTP/1.1 503");
    }

    /** After a restart of all hosts, a slow host still has requests queued whose callers have disconnected. */
    @Test
    void requestThatIsReadLateIsNotSentIfItsCallerHasDisconnected() throws Exception {
        AtomicInteger arrived = new AtomicInteger();
        start(RouteKind.SAFE, false, (socket, id, number) -> {
            arrived.incrementAndGet();
            send(socket, answer(id, "late"));
        });
        EventLoop thread = group.next();
        thread.execute(() -> sleep(800));
        sleep(100);
        try (Socket socket = new Socket(LOOPBACK, server.port())) {
            send(socket, "GET /x HTTP/1.1\r\nhost: host\r\nid: 1\r\n\r\n");
        }

        sleep(1_500);

        assertThat(arrived).hasValue(0);
    }

    /** A slow host is blocked after it decided to send a request and before the connection is established. */
    @Test
    void requestIsNotSentIfItsCallerDisconnectsBeforeTheConnectionIsEstablished() throws Exception {
        AtomicInteger arrived = new AtomicInteger();
        start(RouteKind.SAFE, false, (socket, id, number) -> {
            arrived.incrementAndGet();
            send(socket, answer(id, "late"));
        });
        onRead = () -> group.next().execute(() -> sleep(800));

        for (int caller = 0; caller < 10; caller++) {
            try (Socket socket = new Socket(LOOPBACK, server.port())) {
                send(socket, "GET /x HTTP/1.1\r\nhost: host\r\nid: " + caller + "\r\n\r\n");
                sleep(100);
            }
            sleep(900);
        }

        assertThat(arrived).hasValue(0);
    }

    @Test
    void requestThatIsReadLateIsServedIfItsCallerStillWaits() throws Exception {
        start(RouteKind.SAFE, false, (socket, id, number) -> send(socket, answer(id, "hello")));
        group.next().execute(() -> sleep(800));
        sleep(100);

        assertThat(call("1")).startsWith("HTTP/1.1 200").endsWith("hello");
    }

    @Test
    void startedStreamThatCannotContinueIsClosedWithoutARefusal() throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        start(RouteKind.STREAMING, true, (socket, id, number) -> {
            if (attempts.incrementAndGet() == 1) {
                send(socket, "HTTP/1.1 200 OK\r\nid: " + id + "\r\nseal: s\r\n\r\nid: 1\ndata: a\n\n");
                sleep();
            }
            socket.setSoLinger(true, 0);
            socket.close();
        });
        long startedNanos = System.nanoTime();

        String answer = callWithKeepAlive("1");

        assertThat(answer).contains("data: a").doesNotContain("\r\n0\r\n").doesNotContain("HTTP/1.1 50");
        assertThat(Duration.ofNanos(System.nanoTime() - startedNanos)).isLessThan(Duration.ofSeconds(4));
    }

    /** Sends a request without {@code Connection: close} and returns everything received until the server closes. */
    private String callWithKeepAlive(String id) throws IOException {
        try (Socket socket = new Socket(LOOPBACK, server.port())) {
            socket.setSoTimeout(6_000);
            send(socket, "GET /x HTTP/1.1\r\nhost: host\r\nid: " + id + "\r\n\r\n");
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
