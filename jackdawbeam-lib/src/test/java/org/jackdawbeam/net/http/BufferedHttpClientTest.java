package org.jackdawbeam.net.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class BufferedHttpClientTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BufferedHttpClient client = new BufferedHttpClient(group);

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    @Test
    void unresponsiveConnectionIsClosedAndTheNextRequestUsesANewOne() {
        AtomicBoolean silent = new AtomicBoolean();
        HttpExchangeHandler handler = exchange -> {
            if (!silent.get()) {
                exchange.respond(200, "text/plain", exchange.body(), Map.of());
            }
        };
        try (HttpServer server =
                HttpServer.start(group, new InetSocketAddress("127.0.0.1", 0), HttpLimits.defaults(), handler)) {
            assertThat(send(server.port()).status()).isEqualTo(200);
            silent.set(true);
            assertThat(codeOfFailure(server.port())).isEqualTo(ErrorCode.CONNECTION_SILENT);
            silent.set(false);
            assertThat(send(server.port()).status()).isEqualTo(200);
        }
    }

    @Test
    void refusedConnectionFailsWithItsErrorCode() {
        assertThat(codeOfFailure(1)).isEqualTo(ErrorCode.CONNECTION_FAILED);
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private BufferedHttpResponse send(int port) {
        return client.send(new InetSocketAddress("127.0.0.1", port), "GET", "/", Map.of(), new byte[0], 300)
                .join();
    }

    private ErrorCode codeOfFailure(int port) {
        ErrorCode[] code = new ErrorCode[1];
        assertThatExceptionOfType(CompletionException.class)
                .isThrownBy(() -> send(port))
                .satisfies(failure -> code[0] = ((JackdawbeamException) failure.getCause()).code());
        return code[0];
    }

    /** Responds to each request with its number, and to the first one a second time, perhaps in part, after a pause. */
    private static void respondTwice(Socket socket, long pauseMillis, int secondBytes) {
        try (socket) {
            for (int number = 1; readRequest(socket); number++) {
                write(socket, response(number));
                if (number == 1) {
                    Thread.sleep(pauseMillis);
                    write(socket, response(number).substring(0, secondBytes));
                }
            }
        } catch (IOException | InterruptedException e) {
            // The client has closed the connection, or the test has ended.
        }
    }

    private static boolean readRequest(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        for (int next = socket.getInputStream().read();
                next >= 0;
                next = socket.getInputStream().read()) {
            head.append((char) next);
            if (head.toString().endsWith("\r\n\r\n")) {
                return true;
            }
        }
        return false;
    }

    private static String response(int number) {
        return "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n" + number;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static ServerSocket serveWithDuplicateResponse(long pauseMillis) throws IOException {
        return serveWithDuplicateResponse(pauseMillis, response(1).length());
    }

    private static ServerSocket serveWithDuplicateResponse(long pauseMillis, int secondBytes) throws IOException {
        ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(() -> {
            try {
                while (true) {
                    Socket socket = server.accept();
                    Thread.ofVirtual().start(() -> respondTwice(socket, pauseMillis, secondBytes));
                }
            } catch (IOException e) {
                // The test has closed the server socket.
            }
        });
        return server;
    }

    private static String body(BufferedHttpResponse response) {
        return new String(response.body(), StandardCharsets.US_ASCII);
    }

    @Test
    void duplicateResponseOnAnIdleConnectionIsNotTakenForTheNextResponse() throws Exception {
        try (ServerSocket server = serveWithDuplicateResponse(50)) {
            assertThat(body(send(server.getLocalPort()))).isEqualTo("1");
            Thread.sleep(150);

            // The server numbers requests per connection: on a new connection the next request has number 1 again.
            BufferedHttpResponse next = send(server.getLocalPort());

            assertThat(body(next)).isEqualTo("1");
        }
    }

    // Guards against a request that is written to a connection which has closed since it was taken from the pool.
    @Test
    void requestUsesANewConnectionIfThePooledOneHasClosedMeanwhile() throws Exception {
        try (ServerSocket server = serveWithDuplicateResponse(20)) {
            assertThat(body(send(server.getLocalPort()))).isEqualTo("1");
            CountDownLatch paused = new CountDownLatch(1);
            group.execute(() -> awaitUninterruptibly(paused));
            for (int task = 0; task < 128; task++) {
                group.execute(() -> {});
            }
            Thread.sleep(
                    1_100); // after a second in tasks the event loop reads from its connections before the next task
            var next = client.send(
                    new InetSocketAddress("127.0.0.1", server.getLocalPort()),
                    "GET",
                    "/",
                    Map.of(),
                    new byte[0],
                    2_000);
            paused.countDown();

            assertThat(body(next.join())).isEqualTo("1");
        }
    }

    // Guards against part of a second response that lies in the decoder and merges with the next response.
    @Test
    void connectionThatReceivesPartOfAHeadWhileIdleIsNotReused() throws Exception {
        try (ServerSocket server = serveWithDuplicateResponse(50, "HTTP/1.1 200 O".length())) {
            assertThat(body(send(server.getLocalPort()))).isEqualTo("1");
            Thread.sleep(150);

            BufferedHttpResponse next = send(server.getLocalPort());

            assertThat(body(next)).isEqualTo("1");
        }
    }

    @Test
    void clientWithoutConnectionReuseOpensAConnectionForEachRequest() throws Exception {
        BufferedHttpClient nonReusing = BufferedHttpClient.withoutConnectionReuse(group, 1_024);
        AtomicInteger accepted = new AtomicInteger();
        HttpExchangeHandler handler = exchange -> exchange.respond(200, "text/plain", exchange.body(), Map.of());
        try (HttpServer server = HttpServer.start(
                group,
                new InetSocketAddress("127.0.0.1", 0),
                () -> {
                    accepted.incrementAndGet();
                    return HttpLimits.defaults();
                },
                handler)) {
            for (int number = 0; number < 3; number++) {
                nonReusing
                        .send(new InetSocketAddress("127.0.0.1", server.port()), "GET", "/", Map.of(), new byte[0], 300)
                        .join();
            }
        }

        assertThat(accepted).hasValue(3);
    }

    @Test
    void requestIsNotSentIfItIsNoLongerPermittedOnceConnected() {
        AtomicInteger arrived = new AtomicInteger();
        HttpExchangeHandler handler = exchange -> {
            arrived.incrementAndGet();
            exchange.respond(200, "text/plain", exchange.body(), Map.of());
        };
        try (HttpServer server =
                HttpServer.start(group, new InetSocketAddress("127.0.0.1", 0), HttpLimits.defaults(), handler)) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.port());
            AtomicBoolean permitted = new AtomicBoolean(true);
            CountDownLatch paused = new CountDownLatch(1);
            // As when the process is paused after it decided to send and before the connection is established.
            group.execute(() -> awaitUninterruptibly(paused));
            var response = client.send(address, "GET", "/", Map.of(), new byte[0], 300, permitted::get);
            permitted.set(false);
            paused.countDown();

            assertThatExceptionOfType(CompletionException.class)
                    .isThrownBy(response::join)
                    .satisfies(failure -> assertThat(((JackdawbeamException) failure.getCause()).code())
                            .isEqualTo(ErrorCode.NOT_PERMITTED));
        }

        assertThat(arrived).hasValue(0);
    }

    @Test
    void endlessResponseFailsWithItsErrorCode() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> {
                try (Socket socket = server.accept()) {
                    socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    while (true) {
                        socket.getOutputStream().write(new byte[4_096]);
                    }
                } catch (IOException e) {
                    // The client has closed the connection.
                }
            });
            BufferedHttpClient small = BufferedHttpClient.withoutConnectionReuse(group, 64 * 1_024);

            assertThatExceptionOfType(CompletionException.class)
                    .isThrownBy(() -> small.send(
                                    new InetSocketAddress("127.0.0.1", server.getLocalPort()),
                                    "GET",
                                    "/",
                                    Map.of(),
                                    new byte[0],
                                    5_000)
                            .join())
                    .satisfies(failure -> assertThat(((JackdawbeamException) failure.getCause()).code())
                            .isEqualTo(ErrorCode.MESSAGE_MALFORMED));
        }
    }

    // Guards against taking a failed write of the request for the end of a response without a length.
    @Test
    void responseWithoutLengthFailsIfItsConnectionIsResetWhileTheRequestIsSent() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> respondPartly(listener));
            InetSocketAddress address = new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
            var response = client.send(address, "POST", "/", Map.of(), new byte[16 * 1024 * 1024], 3_000);

            assertThatExceptionOfType(CompletionException.class)
                    .isThrownBy(response::join)
                    .satisfies(failure -> assertThat(((JackdawbeamException) failure.getCause()).code())
                            .isEqualTo(ErrorCode.CONNECTION_FAILED));
        }
    }

    // Guards against a status that counts as the number in it: 0200 as 200, 0409 as 409.
    @ParameterizedTest
    @ValueSource(strings = {"000", "0", "99", "0200", "+200", "0409", "0412", "600"})
    void responseWithoutAValidStatusFailsWithItsErrorCode(String status) throws Exception {
        assertMalformed("HTTP/1.1 " + status + " OK\r\ncontent-length: 2\r\n\r\n{}");
    }

    // Guards against a body that ends where a field that is no length says.
    @ParameterizedTest
    @ValueSource(strings = {"content-length x: 1", "content-length : 1", "x trace: v", "x-trace\t: v"})
    void responseWithWhitespaceInAFieldNameFailsWithItsErrorCode(String field) throws Exception {
        assertMalformed("HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n{}");
    }

    private void assertMalformed(String response) throws IOException {
        try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> {
                try (Socket socket = server.accept()) {
                    readRequest(socket);
                    write(socket, response);
                    readRequest(socket); // keeps the connection open until the client closes it
                } catch (IOException e) {
                    // The client has closed the connection.
                }
            });

            assertThat(codeOfFailure(server.getLocalPort())).isEqualTo(ErrorCode.MESSAGE_MALFORMED);
        }
    }

    /** Responds before the request has been read, without a length, and resets the connection. */
    private static void respondPartly(ServerSocket listener) {
        try (Socket socket = listener.accept()) {
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\npart".getBytes(StandardCharsets.UTF_8));
            Thread.sleep(400);
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
