package org.jackdawbeam.net.fleet;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jackdawbeam.logic.fleet.FleetEffect;
import org.jackdawbeam.logic.fleet.FleetEvent;
import org.jackdawbeam.logic.fleet.FleetReducer;
import org.jackdawbeam.logic.fleet.FleetState;
import org.jackdawbeam.model.fleet.CallerLimits;
import org.jackdawbeam.model.fleet.CallerRequest;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;
import org.jackdawbeam.model.fleet.FleetBounds;
import org.jackdawbeam.model.fleet.FleetConfiguration;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.Route;
import org.jackdawbeam.model.fleet.RouteKind;
import org.jackdawbeam.model.fleet.ServiceDefinition;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.jackdawbeam.model.fleet.TargetStatement;
import org.jackdawbeam.model.fleet.WeightedService;
import org.jackdawbeam.model.time.MonotonicClock;
import org.jackdawbeam.net.http.HttpExchange;
import org.jackdawbeam.net.http.HttpLimits;
import org.jackdawbeam.net.http.HttpServer;
import org.jackdawbeam.net.target.TargetConnections;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;

/** Base of tests that relay requests through an entry to a target whose responses the test scripts byte by byte. */
@Timeout(value = 20, unit = TimeUnit.SECONDS)
abstract class RelayHarness {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    /** More than the buffers of a loopback connection hold. */
    static final int LONG_BODY_BYTES = 16 * 1024 * 1024;

    private static final HttpLimits LIMITS = new HttpLimits(8_192, 16_384, LONG_BODY_BYTES, 10_000, 60_000);

    final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final AtomicInteger connections = new AtomicInteger();
    ServerSocket target;
    HttpServer server;
    FleetLoop loop;

    /** Runs on the entry's thread when a request has been read. */
    Runnable onRead = () -> {};

    /** Responds to one request on a connection of the target. */
    @FunctionalInterface
    interface Script {
        void respond(Socket socket, String requestId, int number) throws IOException;
    }

    @BeforeEach
    void openTarget() throws IOException {
        target = new ServerSocket(0, 50, LOOPBACK);
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        target.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    void start(RouteKind kind, boolean resumable, Script script) throws Exception {
        Thread.ofVirtual().start(() -> acceptAll(script));
        MonotonicClock clock = MonotonicClock.system();
        EventLoop thread = group.next();
        FleetMember self = new FleetMember("a", "a/1", "z", "127.0.0.1:1", "127.0.0.1:2", 100);
        FleetBounds bounds = new FleetBounds(60_000, true, 3_000, 8_000, 0.2, 56, 10_000, 5_000, 5);
        loop = new FleetLoop(new FleetReducer(), FleetState.initial(self, bounds), clock, thread, new FleetLog());
        TargetConnections pool = new TargetConnections(group, clock);
        RequestRelay relay = new RequestRelay(
                loop,
                new TestDialect(),
                pool,
                exchange -> {
                    onRead.run();
                    return read(exchange);
                },
                (exchange, refusal) ->
                        exchange.respond(refusal.code().httpStatus(), "text/plain", new byte[0], Map.of()));
        server = HttpServer.start(group, new InetSocketAddress(LOOPBACK, 0), LIMITS, relay::accept);
        FleetEffects effects = new FleetEffects(loop, null, null, relay, pool, null);
        loop.start(effect -> {
            boolean concernsRequests = effect instanceof FleetEffect.StartAttempt
                    || effect instanceof FleetEffect.RelayAnswer
                    || effect instanceof FleetEffect.CancelAttempt
                    || effect instanceof FleetEffect.RefuseRequest
                    || effect instanceof FleetEffect.ForgetRequest
                    || effect instanceof FleetEffect.BreakAnswer;
            if (concernsRequests) {
                effects.accept(effect);
            }
        });
        thread.submit(() -> prepare(loop, kind, resumable)).get();
    }

    void prepare(FleetLoop loop, RouteKind kind, boolean resumable) {
        Route route = new Route(
                "r", "host", "/", kind, 5_000, 500, 1, 2, true, resumable, List.of(new WeightedService("s", 1)));
        FleetConfiguration configuration = FleetConfiguration.of(
                1,
                List.of(route),
                List.of(new ServiceDefinition("s", 10, Optional.empty())),
                CallerLimits.defaults(),
                List.of());
        TargetDescription description = new TargetDescription(
                "t", "s", "127.0.0.1:" + target.getLocalPort(), "z", 4, false, Set.of(), Set.of(), 1, 0);
        TargetDescription second = new TargetDescription(
                "t2", "s", "127.0.0.1:" + target.getLocalPort(), "z", 4, false, Set.of(), Set.of(), 1, 0);
        long now = loop.nowMillis();
        loop.submit(new FleetEvent.FeedRead(
                now, Feed.CONFIGURATION, now, true, List.of(new FeedEntry.Configuration(configuration)), 1));
        loop.submit(new FleetEvent.FeedRead(
                now,
                Feed.TARGETS,
                now,
                true,
                List.of(new FeedEntry.Target(description), new FeedEntry.Target(second)),
                1));
    }

    static CallerRequest read(HttpExchange exchange) {
        return new CallerRequest(
                exchange.headers().get("id", ""),
                "host",
                exchange.path(),
                Optional.empty(),
                5_000,
                Optional.empty(),
                Optional.empty(),
                0,
                0,
                false,
                List.of(),
                exchange.headers().get("id", "").hashCode());
    }

    void acceptAll(Script script) {
        try {
            while (true) {
                Socket socket = target.accept();
                connections.incrementAndGet();
                Thread.ofVirtual().start(() -> serve(socket, script));
            }
        } catch (IOException e) {
            // The target has been closed at the end of the test.
        }
    }

    static void serve(Socket socket, Script script) {
        try (socket) {
            InputStream input = socket.getInputStream();
            for (int number = 1; ; number++) {
                String head = readHead(input);
                if (head.isEmpty()) {
                    return;
                }
                script.respond(socket, headerOf(head, "id"), number);
            }
        } catch (IOException e) {
            // The entry has closed the connection.
        }
    }

    static String readHead(InputStream input) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = input.read(); next >= 0; next = input.read()) {
            bytes.write(next);
            if (bytes.toString(StandardCharsets.UTF_8).endsWith("\r\n\r\n")) {
                return bytes.toString(StandardCharsets.UTF_8);
            }
        }
        return "";
    }

    static String headerOf(String head, String name) {
        return head.lines()
                .filter(line -> line.toLowerCase().startsWith(name + ":"))
                .map(line -> line.substring(name.length() + 1).trim())
                .findFirst()
                .orElse("");
    }

    static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    static String answer(String id, String body) {
        return "HTTP/1.1 200 OK\r\nid: " + id + "\r\nseal: s\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Sends requests in sequence on one connection and returns everything received until it is closed. */
    String call(String... ids) throws IOException {
        try (Socket socket = new Socket(LOOPBACK, server.port())) {
            StringBuilder all = new StringBuilder();
            for (int index = 0; index < ids.length; index++) {
                boolean last = index == ids.length - 1;
                send(
                        socket,
                        "GET /x HTTP/1.1\r\nhost: host\r\nid: " + ids[index] + "\r\n"
                                + (last ? "connection: close\r\n" : "") + "\r\n");
                if (!last) {
                    all.append(readHead(socket.getInputStream()));
                }
            }
            all.append(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
            return all.toString();
        }
    }

    static void sleep() {
        sleep(100);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A minimal dialect. */
    private static final class TestDialect implements TargetDialect {
        @Override
        public HttpHeaders requestHeaders(
                HttpHeaders callerHeaders,
                FleetEffect.StartAttempt attempt,
                long remainingMillis,
                Optional<String> resumeAfter) {
            HttpHeaders headers = new DefaultHttpHeaders();
            headers.set("host", "host");
            headers.set("id", callerHeaders.get("id"));
            resumeAfter.ifPresent(event -> headers.set("last-event-id", event));
            return headers;
        }

        @Override
        public ResponseHead read(HttpResponse response, String callerRequestId) {
            boolean identified = response.headers().contains("id");
            String id = response.headers().get("id", callerRequestId);
            Optional<String> seal = Optional.ofNullable(response.headers().get("seal"));
            boolean notExecuted = response.headers().contains("not-executed");
            return new ResponseHead(
                    identified ? Optional.of(id) : Optional.empty(),
                    !id.equals(callerRequestId),
                    identified,
                    seal,
                    notExecuted,
                    TargetStatement.empty(),
                    1_000);
        }

        @Override
        public boolean isRequestId(String headerName) {
            return headerName.equalsIgnoreCase("id");
        }

        @Override
        public HttpHeaders responseHeaders(HttpHeaders targetHeaders) {
            return targetHeaders.copy();
        }
    }
}
