package org.jackdawbeam.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Writer;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** An entry process before targets that run payments and answer them with a malformed head. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class MalformedHeadProcessTest {
    private static final long STARTUP_MILLIS = 30_000;
    private static final int TARGETS_FOR_EACH_HEAD = 3;
    private static final int PAYMENTS = 300;
    private static final String FIELDS = "Request-Id: ID\r\nServer-Seal: s.ID\r\nContent-Length: 7\r\n\r\nwhole-1";
    private static final List<String> HEADS = List.of(
            "HTTP/1.1 000 Unknown\r\n" + FIELDS,
            "HTTP/1.1 0200 OK\r\n" + FIELDS,
            "HTTP/1.1 600 Unknown\r\n" + FIELDS,
            "HTTP/1.1 200 OK\r\nContent-Length x: 3\r\n" + FIELDS.replace("Content-Length: 7\r\n", ""),
            "HTTP/1.1 200 OK\r\nNot-Executed x: 1\r\n" + FIELDS,
            "HTTP/1.1 503 Busy\r\nNot-Executed : 1\r\n" + FIELDS,
            "HTTP/1.1 200 OK\r\nX\u0001Trace: v\r\n" + FIELDS);

    @TempDir
    private Path folder;

    /** Heads with which requests were answered, by request id. */
    private final Map<String, List<String>> answered = new ConcurrentHashMap<>();

    private SoakSite site;
    private ScriptedTargets targets;

    @AfterEach
    void stop() throws IOException {
        site.close();
        targets.close();
    }

    // Guards against answers that are none, and against a payment that runs again after one.
    @Test
    void paymentThatIsAnsweredWithAMalformedHeadFailsAndRunsOnce() throws Exception {
        site = new SoakSite(1, folder);
        targets = new ScriptedTargets(site);
        site.entries().getFirst().start();
        long until = System.currentTimeMillis() + STARTUP_MILLIS;
        while (!(pay("start-" + System.nanoTime()) instanceof Outcome.Answered start) || start.status() != 200) {
            assertThat(System.currentTimeMillis()).isLessThan(until);
            Thread.sleep(100);
        }
        for (int number = 0; number < TARGETS_FOR_EACH_HEAD * HEADS.size(); number++) {
            String head = HEADS.get(number % HEADS.size());
            targets.start("bad-service-" + number, "payments", "[]", socket -> respond(socket, head));
        }

        List<String> wrong = new ArrayList<>();
        for (int number = 0; number < PAYMENTS; number++) {
            String id = "payment-" + number;
            Outcome outcome = pay(id);
            List<String> heads = answered.getOrDefault(id, List.of());
            int runs = heads.size() + site.fleet().ledger().executions(id);
            boolean failed = outcome instanceof Outcome.Answered answer
                    && answer.status() == 502
                    && !answer.headers().containsKey("server-seal");
            if (!heads.isEmpty() && (!failed || runs != 1)) {
                wrong.add(runs + " runs, " + outcome + " after " + heads);
            }
        }

        assertThat(wrong).isEmpty();
        assertThat(answered.values().stream().flatMap(List::stream).distinct()).hasSameSizeAs(HEADS);
    }

    private Outcome pay(String id) {
        try (CallerConnection connection =
                new CallerConnection(site.entries().getFirst().callerPort())) {
            return connection.send(RequestKind.PAYMENT.toHttp(id, RequestKind.PAYMENT.key()));
        }
    }

    private void respond(Socket socket, String head) throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        String id = "";
        for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
            id = line.toLowerCase().startsWith("request-id: ") ? line.substring("request-id: ".length()) : id;
        }
        if (!id.isEmpty()) {
            answered.computeIfAbsent(id, key -> new ArrayList<>()).add(head);
        }
        socket.getOutputStream().write(head.replace("ID", id).getBytes(StandardCharsets.ISO_8859_1));
        reader.transferTo(Writer.nullWriter()); // until the entry closes the connection
    }
}
