package org.jackdawbeam.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpServerTest {
    private static final HttpLimits LIMITS = new HttpLimits(1_024, 2_048, 4_096, 300, 600);
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private HttpServer server;

    @BeforeEach
    void start() {
        server = HttpServer.start(
                group,
                new InetSocketAddress("127.0.0.1", 0),
                LIMITS,
                exchange -> exchange.respond(200, "text/plain", exchange.body(), Map.of()));
    }

    @AfterEach
    void stop() {
        server.close();
        group.shutdownGracefully();
    }

    @Test
    void incompleteHeadersEndWithRequestTimeout() throws IOException {
        assertThat(exchange("POST / HTTP/1.1\r\nContent-Le"))
                .startsWith("HTTP/1.1 408")
                .contains("\"ran\":\"no\"");
    }

    @Test
    void incompleteBodyEndsWithRequestTimeout() throws IOException {
        assertThat(exchange("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc")).startsWith("HTTP/1.1 408");
    }

    @Test
    void idleConnectionIsClosedWithoutAResponse() throws IOException {
        assertThat(exchange("")).isEmpty();
    }

    @Test
    void connectionStaysOpenAfterACompleteRequest() throws IOException {
        String request = "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";

        String response = exchange(request + request);

        assertThat(response.split("HTTP/1.1 200", -1)).hasSize(3);
    }

    private String exchange(String bytes) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", server.port())) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }
}
