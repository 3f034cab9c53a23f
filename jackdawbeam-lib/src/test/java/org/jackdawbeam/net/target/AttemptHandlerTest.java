package org.jackdawbeam.net.target;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.opentelemetry.api.trace.Span;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jackdawbeam.model.request.AttemptFailure;
import org.jackdawbeam.model.request.AttemptId;
import org.jackdawbeam.model.request.StoredAnswer;
import org.jackdawbeam.model.settings.EntryTimings;
import org.jackdawbeam.model.time.MonotonicClock;
import org.jackdawbeam.net.caller.OpenRequest;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.http.HttpExchange;
import org.jackdawbeam.net.http.HttpLimits;
import org.jackdawbeam.net.http.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Engines whose responses end too early, do not continue a stream, or are repeated; scripted byte by byte. */
@Timeout(value = 20, unit = TimeUnit.SECONDS)
class AttemptHandlerTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final AttemptId ID = new AttemptId(1, 1);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final TargetConnections connections = new TargetConnections(group, MonotonicClock.system());
    private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
    private final CompletableFuture<HttpExchange> exchange = new CompletableFuture<>();
    private ServerSocket engine;
    private HttpServer server;
    private Socket caller;
    private Socket accepted;

    @BeforeEach
    void open() throws IOException {
        engine = new ServerSocket(0, 10, LOOPBACK);
        server = HttpServer.start(group, new InetSocketAddress(LOOPBACK, 0), HttpLimits.defaults(), exchange::complete);
        caller = new Socket(LOOPBACK, server.port());
        caller.getOutputStream().write("GET /x HTTP/1.1\r\nhost: h\r\n\r\n".getBytes(StandardCharsets.UTF_8));
    }

    @AfterEach
    void close() throws IOException {
        caller.close();
        if (accepted != null) {
            accepted.close();
        }
        server.close();
        engine.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** Runs an attempt whose engine sends the given bytes, and returns its connection. */
    private Channel run(boolean streamed, String response, boolean closes) throws Exception {
        OpenRequest request =
                new OpenRequest(1, exchange.get(), Optional.empty(), new DefaultHttpHeaders(), Span.getInvalid());
        request.startAttempt(ID);
        InetSocketAddress address = new InetSocketAddress(LOOPBACK, engine.getLocalPort());
        Attempt attempt = new Attempt(
                ID,
                address,
                request,
                streamed,
                false,
                EntryTimings.defaults(),
                new RecordingListener(),
                new AtomicBoolean());
        CompletableFuture<Channel> opened = new CompletableFuture<>();
        connections.acquireNew(address, channel -> opened.complete(channel.orElseThrow()));
        // A field keeps it open: the garbage collector closes sockets that nothing refers to.
        accepted = engine.accept();
        Channel channel = opened.get();
        channel.eventLoop()
                .submit(() -> {
                    TargetConnections.startRequest(channel, ID.toString());
                    channel.pipeline()
                            .addLast(new AttemptHandler(
                                    attempt, connections, MessageMapper.json().objectMapper(), true));
                    channel.writeAndFlush(new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1, HttpMethod.GET, "/x", Unpooled.EMPTY_BUFFER));
                })
                .get();
        accepted.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
        if (closes) {
            accepted.close();
        }
        return channel;
    }

    private String result() throws InterruptedException {
        return results.poll(5, TimeUnit.SECONDS);
    }

    // Guards against an answer that looks whole although its head was cut off.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\ncontent-le",
                "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 2"
            })
    void answerWhoseHeadIsCutOffIsAFailure(String head) throws Exception {
        run(false, head, true);

        assertThat(result()).startsWith("failed").endsWith("may have run");
    }

    // Guards against a stream that ends as if it were complete when the next engine answers with an error.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 400 Bad Request\r\ncontent-length: 7\r\n\r\nwrong\n\n",
                "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 7\r\n\r\nwrong\n\n"
            })
    void answerThatIsNoStreamDoesNotContinueAStream(String response) throws Exception {
        exchange.get().startStream(Map.of());

        run(true, response, false);

        assertThat(result()).isEqualTo("failed " + AttemptFailure.MALFORMED_ANSWER + " may have run");
    }

    // Guards against a status such as 000, which callers got as an answer, and which was stored for repeated requests.
    @ParameterizedTest
    @ValueSource(strings = {"000", "0", "99", "0200", "+200", "1000", "600"})
    void answerWithoutAValidStatusIsAFailure(String status) throws Exception {
        run(
                false,
                "HTTP/1.1 " + status + " Unknown\r\ncontent-length: 33\r\n\r\n"
                        + "{\"usage\":{\"completion_tokens\":1}}",
                false);

        assertThat(result()).isEqualTo("failed " + AttemptFailure.MALFORMED_ANSWER + " may have run");
    }

    // Guards against a body that ends where a field that is no length says.
    @ParameterizedTest
    @ValueSource(strings = {"content-length x", "content-length ", "content-length\t"})
    void answerWithWhitespaceInAFieldNameIsAFailure(String name) throws Exception {
        run(false, "HTTP/1.1 200 OK\r\n" + name + ": 33\r\n\r\n{\"usage\":{\"completion_tokens\":1}}...", false);

        assertThat(result()).isEqualTo("failed " + AttemptFailure.MALFORMED_ANSWER + " may have run");
    }

    // Guards against the status of a response that was cut off in its head, with the body of the next one.
    @Test
    void answerWhoseHeadContainsAnotherOneIsAFailure() throws Exception {
        run(
                false,
                "HTTP/1.1 200 OK\r\ncontent-type: applicHTTP/1.1 500 Broken\r\ncontent-length: 39\r\n\r\n"
                        + "{\"usage\":{\"completion_tokens\":1},\"a\":1}",
                false);

        assertThat(result()).isEqualTo("failed " + AttemptFailure.MERGED_ANSWER + " may have run");
    }

    // Guards against a repeated rejection that is taken for the response to the next request.
    @Test
    void connectionIsNotReusedAfterARejection() throws Exception {
        Channel channel = run(false, "HTTP/1.1 503 Unavailable\r\ncontent-length: 0\r\n\r\n", false);

        assertThat(result()).isEqualTo("failed " + AttemptFailure.REJECTED + " not run");
        assertThat(channel.closeFuture().await(5, TimeUnit.SECONDS)).isTrue();
    }

    private final class RecordingListener implements AttemptListener {
        @Override
        public void onWritten() {}

        @Override
        public void onAnswering() {}

        @Override
        public void onCompleted(long generatedTokens, double slowGapShare, Optional<StoredAnswer> answer) {
            results.add("completed");
        }

        @Override
        public void onFailed(AttemptFailure failure, boolean mayHaveRun) {
            results.add("failed " + failure + (mayHaveRun ? " may have run" : " not run"));
        }
    }

    // Guards against taking a close by this side, as at a stop, for the end of an answer without a length.
    @Test
    void answerWithoutLengthIsNotCompleteIfThisSideClosesItsConnection() throws Exception {
        Channel channel = run(false, "HTTP/1.1 200 OK\r\n\r\n{\"usage\":{\"completion_tokens\":1}}", false);
        Thread.sleep(200);

        channel.close();

        assertThat(result()).startsWith("failed CONNECTION_LOST");
    }

    // Guards against an engine that fills the memory with a stream that has no events.
    @Test
    void streamWithoutEventsThatDoesNotEndIsAFailure() throws Exception {
        run(true, "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n" + "x".repeat(1024 * 1024), false);

        assertThat(result()).isEqualTo("failed " + AttemptFailure.OVERSIZED_ANSWER + " may have run");
    }
}
