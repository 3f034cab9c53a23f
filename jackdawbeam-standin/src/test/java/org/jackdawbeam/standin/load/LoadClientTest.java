package org.jackdawbeam.standin.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LoadClientTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private String receive(String response) throws Exception {
        CompletableFuture<String> result = new CompletableFuture<>();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> {
                try (Socket socket = server.accept()) {
                    socket.getInputStream().read();
                    socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                    socket.getInputStream().readAllBytes(); // until the client has closed the connection
                } catch (IOException e) {
                    // The client has closed the connection.
                }
            });
            InetSocketAddress address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
            new LoadClient(group).send(address, "/", Map.of(), "", new ResultListener(result));
            return result.get(5, TimeUnit.SECONDS);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 Unknown",
                "HTTP/1.1 0200 OK",
                "HTTP/1.1 200 OK\r\nx trace: v",
                "HTTP/1.1 200 OK\r\nx\u0001trace: v"
            })
    void malformedResponseIsAFailure(String head) throws Exception {
        assertThat(receive(head + "\r\ncontent-length: 0\r\n\r\n")).isEqualTo("failure");
    }

    @Test
    void validResponseIsCountedByItsStatus() throws Exception {
        assertThat(receive("HTTP/1.1 429 Busy\r\ncontent-length: 0\r\n\r\n")).isEqualTo("status 429");
    }

    private record ResultListener(CompletableFuture<String> result) implements LoadClient.Listener {
        @Override
        public void onFirstByte(long nanos) {}

        @Override
        public void onGap(long nanos) {}

        @Override
        public void onEnd(int status, long nanos, long events) {
            result.complete("status " + status);
        }

        @Override
        public void onFailure() {
            result.complete("failure");
        }
    }
}
