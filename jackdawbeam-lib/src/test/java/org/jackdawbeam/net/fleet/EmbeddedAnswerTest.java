package org.jackdawbeam.net.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.jackdawbeam.model.fleet.RouteKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Targets that send a second answer, to this request or an earlier one, into the body of an answer. */
class EmbeddedAnswerTest extends RelayHarness {
    private static final String BODY = "0123456789";

    // Guards against a body that looks whole and contains another answer.
    @ParameterizedTest
    @CsvSource({
        "close, first",
        "close, next",
        "close-in-parts, first",
        "close-in-parts, next",
        "length, first",
        "length, next",
    })
    void bodyThatContainsAnotherAnswerIsNotCompleted(String framing, String secondTo) throws Exception {
        start(RouteKind.UNSAFE, false, (socket, id, number) -> {
            if (id.equals("first")) {
                send(socket, answer(id, "right"));
                return;
            }
            respond(socket, id, framing, answer(secondTo, "right"));
        });

        String answer = callTwice();

        assertThat(answer).doesNotEndWith("\r\n0\r\n\r\n").doesNotContain("seal: s\r\ncontent-length: 5");
    }

    private static void respond(Socket socket, String id, String framing, String second) throws IOException {
        String head = "HTTP/1.1 200 OK\r\nid: " + id + "\r\nseal: own\r\n";
        if (framing.equals("length")) {
            int length = BODY.length() + second.length();
            send(socket, head + "content-length: " + length + "\r\n\r\n" + BODY + second);
            return;
        }
        send(socket, head + "\r\n" + BODY);
        for (String part : framing.equals("close") ? new String[] {second} : second.split("(?<=1)")) {
            sleep(10);
            send(socket, part);
        }
        socket.close();
    }

    private String callTwice() throws IOException {
        try (Socket socket = new Socket(LOOPBACK, server.port())) {
            send(socket, "GET /x HTTP/1.1\r\nhost: host\r\nid: first\r\n\r\n");
            readHead(socket.getInputStream());
            socket.getInputStream().readNBytes("right".length());
            sleep(20);
            send(socket, "GET /x HTTP/1.1\r\nhost: host\r\nid: next\r\nconnection: close\r\n\r\n");
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
