package org.jackdawbeam.net.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.jackdawbeam.model.fleet.RouteKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Targets whose answers end too early, and answers that must not continue a stream that another target began. */
class TruncatedAnswerTest extends RelayHarness {
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
    private static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ncontent-type: text/event-stream\r\n";

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Sends an answer once, and closes the connection. */
    private void startWithAnswer(RouteKind kind, String answer) throws Exception {
        start(kind, false, (socket, id, number) -> {
            send(socket, answer.replace("ID", id));
            sleep();
            socket.close();
        });
    }

    // Guards against text of an error in the middle of a stream, and a stream that looks complete after it.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 400 Bad Request\r\nid: ID\r\ncontent-length: 7\r\n\r\nwrong\n\n",
                "HTTP/1.1 404 Not Found\r\nid: ID\r\ncontent-length: 7\r\n\r\nwrong\n\n",
                "HTTP/1.1 500 Error\r\nid: ID\r\ncontent-length: 7\r\n\r\nwrong\n\n",
                "HTTP/1.1 302 Found\r\nid: ID\r\nlocation: /y\r\ncontent-length: 7\r\n\r\nwrong\n\n",
                "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ncontent-type: text/x\r\ncontent-length: 7\r\n\r\nwrong\n\n",
                "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ncontent-type: text/plain\r\ncontent-length: 0\r\n\r\n"
            })
    void answerThatIsNoStreamDoesNotContinueAStream(String second) throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        start(RouteKind.STREAMING, true, (socket, id, number) -> {
            if (attempts.incrementAndGet() == 1) {
                send(socket, STREAM_HEAD.replace("ID", id) + "\r\nid: 1\ndata: a\n\n");
                sleep();
                reset(socket);
            }
            send(socket, second.replace("ID", id));
        });

        String answer = call("1");

        assertThat(answer).contains("data: a").doesNotContain("wrong").doesNotEndWith(LAST_CHUNK);
        assertThat(answer.indexOf("HTTP/1.1")).isEqualTo(answer.lastIndexOf("HTTP/1.1"));
    }

    // Guards against a stream that was broken off inside an event and looks complete.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "\r\nid: 1\ndata: a\n\nid: 2\ndata: b",
                "\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n",
                "transfer-encoding: chunked\r\n\r\n18\r\nid: 1\ndata: a\n\nid: 2\ndat\r\n0\r\n\r\n"
            })
    void streamThatEndsInsideAnEventIsNotComplete(String rest) throws Exception {
        startWithAnswer(RouteKind.STREAMING, STREAM_HEAD + rest);

        assertThat(call("1")).contains("data: a").doesNotEndWith(LAST_CHUNK);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\r\nid: 1\ndata: a\n\n",
                "\r\nid: 1\r\ndata: a\r\n\r\n",
                "content-length: 15\r\n\r\nid: 1\ndata: a\n\n"
            })
    void streamThatEndsAfterAnEventIsComplete(String rest) throws Exception {
        startWithAnswer(RouteKind.STREAMING, STREAM_HEAD + rest);

        assertThat(call("1"))
                .contains("data: a")
                .satisfiesAnyOf(
                        answer -> assertThat(answer).endsWith(LAST_CHUNK),
                        answer -> assertThat(answer).contains("content-length: 15"));
    }

    @Test
    void answerWithoutLengthIsCompleteWhenItsConnectionCloses() throws Exception {
        startWithAnswer(RouteKind.UNSAFE, "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\n\r\nhello");

        assertThat(call("1")).contains("hello").endsWith(LAST_CHUNK);
    }

    // Guards against taking the reset of a connection for the end of an answer without a length.
    @ParameterizedTest
    @ValueSource(strings = {"\r\nid: 1\ndata: a\n\n", "\r\n"})
    void answerWithoutLengthIsNotCompleteWhenItsConnectionIsReset(String rest) throws Exception {
        start(RouteKind.STREAMING, false, (socket, id, number) -> {
            send(socket, STREAM_HEAD.replace("ID", id) + rest);
            sleep();
            reset(socket);
        });

        assertThat(call("1")).doesNotEndWith(LAST_CHUNK);
    }

    // Guards against an answer that looks whole although its head was cut off.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ncontent-le",
                "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ncontent-length: 5\r\n",
                "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ncontent-length: 5\r\n\r",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 2"
            })
    void answerWhoseHeadIsCutOffIsAFailure(String head) throws Exception {
        startWithAnswer(RouteKind.UNSAFE, head);

        assertThat(call("1")).startsWith("HTTP/1.1 502");
    }

    // Guards against taking a failed write of the request for the end of an answer without a length.
    @Test
    void answerWithoutLengthIsNotCompleteWhenItsConnectionIsResetWhileTheRequestIsSent() throws Exception {
        start(RouteKind.UNSAFE, false, (socket, id, number) -> {
            send(socket, "HTTP/1.1 200 OK\r\nid: " + id + "\r\nseal: s\r\n\r\npart");
            sleep(400);
            reset(socket);
        });

        assertThat(callWithLongBody()).contains("part").doesNotEndWith(LAST_CHUNK);
    }

    // Guards against breaking off a whole answer of a target that does not read the rest of the request.
    @Test
    void answerWithoutLengthIsCompleteWhenItsTargetEndsItBeforeTheRequestIsRead() throws Exception {
        start(RouteKind.UNSAFE, false, (socket, id, number) -> {
            send(socket, "HTTP/1.1 200 OK\r\nid: " + id + "\r\nseal: s\r\n\r\nwhole");
            socket.shutdownOutput();
            sleep(1_000);
        });

        assertThat(callWithLongBody()).contains("whole").endsWith(LAST_CHUNK);
    }

    // Guards against an answer in chunks that looks whole although its last chunk or its trailers are cut off.
    @ParameterizedTest
    @ValueSource(strings = {"5\r\nhello\r\n0", "5\r\nhello\r\n0\r\n", "5\r\nhello\r\n0\r\nx: y\r\n", "5\r\nhello"})
    void answerInChunksThatIsCutOffIsNotComplete(String chunks) throws Exception {
        startWithAnswer(
                RouteKind.UNSAFE,
                "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n" + chunks);

        assertThat(call("1")).contains("hello").doesNotEndWith(LAST_CHUNK);
    }

    /** Sends a request that is longer than the buffers of its connections, and returns all of the response. */
    private String callWithLongBody() throws IOException {
        try (Socket socket = new Socket(LOOPBACK, server.port())) {
            send(
                    socket,
                    "POST /x HTTP/1.1\r\nhost: host\r\nid: 1\r\nconnection: close\r\ncontent-length: " + LONG_BODY_BYTES
                            + "\r\n\r\n" + "x".repeat(LONG_BODY_BYTES));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
