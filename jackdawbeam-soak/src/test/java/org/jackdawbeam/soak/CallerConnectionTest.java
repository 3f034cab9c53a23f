package org.jackdawbeam.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CallerConnectionTest {
    private static Outcome receive(String response) throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                CallerConnection connection = new CallerConnection(server.getLocalPort())) {
            Thread.ofVirtual().start(() -> {
                try (Socket socket = server.accept()) {
                    socket.getInputStream().read();
                    socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                    socket.getInputStream().readAllBytes(); // until the caller has closed the connection
                } catch (IOException e) {
                    // The caller has closed the connection.
                }
            });
            return connection.send("GET / HTTP/1.1\r\n\r\n");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 0 Unknown Status (0)", "HTTP/1.1 000", "HTTP/1.1 0200 OK", "HTTP/1.1 600 No"})
    void responseWithoutAValidStatusIsMalformed(String statusLine) throws Exception {
        assertThat(receive(statusLine + "\r\ncontent-length: 0\r\n\r\n")).isEqualTo(new Outcome.Malformed(statusLine));
    }

    @ParameterizedTest
    @ValueSource(strings = {"x trace: v", "x-trace : v", "x\u0001trace: v", "x-trace", ": v"})
    void responseWithAnInvalidFieldLineIsMalformed(String line) throws Exception {
        assertThat(receive("HTTP/1.1 200 OK\r\n" + line + "\r\ncontent-length: 0\r\n\r\n"))
                .isEqualTo(new Outcome.Malformed(line));
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nx-trace:v", "HTTP/1.1 200", "HTTP/1.1 599 No\r\n!#$%&'*+-.^_`|~09: v"})
    void validResponseIsAnswered(String head) throws Exception {
        assertThat(receive(head + "\r\ncontent-length: 0\r\n\r\n")).isInstanceOf(Outcome.Answered.class);
    }
}
