package org.jackdawbeam.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseCodecTest {
    private static final String RESPONSE = "HTTP/1.1 500 Broken\r\ncontent-length: 2\r\n\r\nno";

    private final EmbeddedChannel channel = new EmbeddedChannel(new ResponseCodec());

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private void request(HttpMethod method) {
        channel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/", Unpooled.EMPTY_BUFFER));
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    // Guards against a head that is made of two, whose status belongs to one response and whose body to the other.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 ",
                "HTTP/1.1 200 O",
                "HTTP/1.1 200 OK",
                "HTTP/1.0 200 OK",
                "HTTP/1.1 200 OK\r\nserver:",
                "HTTP/1.1 200 OK\r\nserver: a",
                "HTTP/1.1 200 OK\r\nserver: a\r\ndate: Sat, 5 Dec",
                "HTTP/1.1 100 Continue",
            })
    void headThatContainsAnotherOneIsRejected(String beginning) {
        request(HttpMethod.GET);

        receive(beginning);
        receive(RESPONSE);

        HttpObject head = channel.readInbound();
        assertThat(head.decoderResult().cause()).isInstanceOf(MergedHeadException.class);
    }

    // Guards against spellings of a status line that the codec accepts and the check for a second head does not know.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 500 Błąd serwera",
                "HTTP/1.1 500 Å",
                "HTTP/1.1  500 Broken",
                "HTTP/1.1\t500\tBroken",
                "HTTP/2.0 500 Broken",
                "http/1.1 500 Broken",
                "HTTP/1.1 600 Broken",
                "HTTP/1.1 500",
                "HTTP/1.1 0 Broken",
                "HTTP/1.1 20 Broken",
                "HTTP/1.1 +500 Broken",
            })
    void secondStatusLineOfAnySpellingIsRejected(String statusLine) {
        request(HttpMethod.GET);

        receive("HTTP/1.1 200 OK\r\nserver: a" + statusLine + "\r\ncontent-length: 2\r\n\r\nno");

        HttpObject head = channel.readInbound();
        assertThat(head.decoderResult().cause()).isInstanceOf(MergedHeadException.class);
    }

    // Guards against a caller whose id looks like a status line and comes back in each answer to it.
    @Test
    void headerThatRepeatsOneOfTheRequestIsAccepted() {
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
        request.headers().set("id", "HTTP/1.1 200 OK");
        channel.writeOutbound(request);

        receive("HTTP/1.1 200 OK\r\nid: HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");

        HttpObject head = channel.readInbound();
        assertThat(head.decoderResult().isSuccess()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"via: HTTP/1.1 proxy", "via: 1.1 a, HTTP/1.0 b (c)", "upgrade: HTTP/2.0", "x: 200 HTTP/1.1"})
    void headerThatNamesAProtocolVersionIsAccepted(String header) {
        request(HttpMethod.GET);

        receive("HTTP/1.1 200 OK\r\n" + header + "\r\ncontent-length: 0\r\n\r\n");

        HttpObject head = channel.readInbound();
        assertThat(head.decoderResult().isSuccess()).isTrue();
    }

    @Test
    void anyTokenIsAcceptedAsAFieldName() {
        request(HttpMethod.GET);

        receive("HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: v\r\ncontent-length: 0\r\n\r\n");

        HttpResponse head = channel.readInbound();
        assertThat(head.headers().get("!#$%&'*+-.^_`|~09azAZ")).isEqualTo("v");
    }

    @Test
    void bytesBeyondTheEndOfAResponseAreNoticed() {
        request(HttpMethod.GET);

        receive(RESPONSE);
        assertThat(ResponseCodec.hasUndecodedBytes(channel)).isFalse();

        receive("HTTP/1.1 2");
        assertThat(ResponseCodec.hasUndecodedBytes(channel)).isTrue();
    }

    @Test
    void responseToAHeadRequestHasNoBody() {
        request(HttpMethod.HEAD);

        receive("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n");

        assertThat(channel.<HttpObject>readInbound()).isInstanceOf(HttpResponse.class);
        assertThat(channel.<HttpObject>readInbound()).isInstanceOf(LastHttpContent.class);
    }

    @Test
    void responseToTheRequestAfterAHeadRequestHasItsBody() {
        request(HttpMethod.HEAD);
        receive("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n");
        channel.releaseInbound();
        request(HttpMethod.GET);

        receive("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhel");

        assertThat(channel.inboundMessages()).hasSize(2).noneMatch(message -> message instanceof LastHttpContent);
    }
}
