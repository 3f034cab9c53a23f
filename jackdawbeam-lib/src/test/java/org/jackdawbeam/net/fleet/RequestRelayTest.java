package org.jackdawbeam.net.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.fail;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import org.jackdawbeam.model.fleet.RouteKind;
import org.junit.jupiter.api.Test;

/** Relaying of responses from targets to callers. */
class RequestRelayTest extends RelayHarness {
    private static final int FIRST_SIZE = 1024 * 1024;
    private static final int SIZE_STEP = 60 * 1024; // less than the write buffer of a connection takes

    @Test
    void responseIsRelayedWithItsSignature() throws Exception {
        start(RouteKind.SAFE, false, (socket, id, number) -> send(socket, answer(id, "hello")));

        assertThat(call("1")).startsWith("HTTP/1.1 200").contains("seal: s").endsWith("hello");
    }

    @Test
    void responseToAnotherRequestIsNotRelayed() throws Exception {
        start(RouteKind.UNSAFE, false, (socket, id, number) -> {
            send(socket, answer("another", "wrong"));
            send(socket, answer(id, "right"));
        });

        assertThat(call("1")).endsWith("right").doesNotContain("wrong");
    }

    @Test
    void bytesAfterACompleteResponseAreDiscarded() throws Exception {
        start(RouteKind.UNSAFE, false, (socket, id, number) -> send(socket, answer(id, "mine") + answer("x", "extra")));

        assertThat(call("1", "2")).doesNotContain("extra").contains("mine");
    }

    @Test
    void successWithoutSignatureIsNotRelayed() throws Exception {
        start(
                RouteKind.UNSAFE,
                false,
                (socket, id, number) ->
                        send(socket, "HTTP/1.1 200 OK\r\nid: " + id + "\r\ncontent-length: 1\r\n\r\nx"));

        assertThat(call("1")).startsWith("HTTP/1.1 502");
    }

    @Test
    void truncatedResponseDoesNotLookComplete() throws Exception {
        start(RouteKind.UNSAFE, false, (socket, id, number) -> {
            send(socket, "HTTP/1.1 200 OK\r\nid: " + id + "\r\nseal: s\r\ncontent-length: 100\r\n\r\npart");
            socket.close();
        });

        assertThat(call("1")).contains("content-length: 100").endsWith("part");
    }

    @Test
    void resetResponseWithoutLengthDoesNotLookComplete() throws Exception {
        start(RouteKind.UNSAFE, false, (socket, id, number) -> {
            send(socket, "HTTP/1.1 200 OK\r\nid: " + id + "\r\nseal: s\r\n\r\npart");
            sleep();
            socket.setSoLinger(true, 0);
            socket.close();
        });

        assertThat(call("1")).contains("transfer-encoding: chunked").doesNotContain("\r\n0\r\n");
    }

    @Test
    void responseWithoutLengthThatIsClosedCleanlyIsComplete() throws Exception {
        start(RouteKind.UNSAFE, false, (socket, id, number) -> {
            send(socket, "HTTP/1.1 200 OK\r\nid: " + id + "\r\nseal: s\r\n\r\nwhole");
            socket.close();
        });

        assertThat(call("1")).contains("whole").contains("\r\n0\r\n");
    }

    @Test
    void invalidResponseToAnUnsafeRequestIsNotRetried() throws Exception {
        start(RouteKind.UNSAFE, false, (socket, id, number) -> send(socket, "garbage\r\n\r\n"));

        assertThat(call("1")).startsWith("HTTP/1.1 502");
        assertThat(connections).hasValue(1);
    }

    @Test
    void streamIsResumedAfterTheLastCompleteEvent() throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        start(RouteKind.STREAMING, true, (socket, id, number) -> {
            String head = "HTTP/1.1 200 OK\r\nid: " + id + "\r\nseal: s\r\n\r\n";
            if (attempts.incrementAndGet() == 1) {
                send(socket, head + "id: 1\ndata: a\n\nid: 2\nda");
                sleep();
                socket.setSoLinger(true, 0);
            } else {
                send(socket, head + "id: 2\ndata: b\n\n");
            }
            socket.close();
        });

        assertThat(call("1")).contains("data: a").contains("data: b").containsOnlyOnce("id: 2");
    }

    @Test
    void targetConnectionIsClosedWhenTheCallerDisconnects() throws Exception {
        AtomicInteger closed = new AtomicInteger();
        start(RouteKind.STREAMING, false, (socket, id, number) -> {
            if (socket.getInputStream().read() < 0) {
                closed.incrementAndGet();
            }
        });
        try (Socket socket = new Socket(LOOPBACK, server.port())) {
            send(socket, "GET /x HTTP/1.1\r\nhost: host\r\nid: 1\r\n\r\n");
            sleep();
        }

        for (int wait = 0; wait < 50 && closed.get() == 0; wait++) {
            sleep();
        }
        assertThat(closed).hasValue(1);
    }

    // Guards against a process that takes an answer for delivered while its end waits for a slow caller.
    @Test
    void answerCountsAsBufferedUntilItsCallerHasReadOn() throws Exception {
        AtomicInteger size = new AtomicInteger(FIRST_SIZE);
        start(RouteKind.SAFE, false, (socket, id, number) -> send(socket, answer(id, "x".repeat(size.get()))));
        // How much the sockets take is not known before; only what they leave over waits in the process.
        while (size.addAndGet(SIZE_STEP) < LONG_BODY_BYTES) {
            try (Socket socket = new Socket()) {
                socket.setReceiveBufferSize(64 * 1024);
                socket.connect(new InetSocketAddress(LOOPBACK, server.port()));
                send(socket, "GET /x HTTP/1.1\r\nhost: host\r\nid: " + size + "\r\nconnection: close\r\n\r\n");
                sleep(60);
                if (bufferedAnswers() == 1) {
                    socket.getInputStream().readAllBytes();
                    sleep();
                    assertThat(bufferedAnswers()).isZero();
                    return;
                }
            }
        }
        fail("no answer of any size was buffered");
    }

    private int bufferedAnswers() throws Exception {
        return group.next().submit(() -> loop.state().bufferedAnswers().size()).get();
    }
}
