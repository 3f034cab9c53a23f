package org.jackdawbeam.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The orders in which a system may report the end of a connection, for a response without a length. */
class ConnectionEndGuardTest {
    private final List<String> received = new ArrayList<>();
    private final EmbeddedChannel channel =
            new EmbeddedChannel(new ConnectionEndGuard(), new ResponseCodec(), new Recorder());

    private final class Recorder extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof LastHttpContent) {
                received.add("complete");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            received.add("lost");
        }
    }

    @BeforeEach
    void receivePartOfAResponse() {
        channel.writeInbound(Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\n\r\npart", StandardCharsets.UTF_8));
    }

    private void endInput() {
        channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    }

    @Test
    void endOfInputCompletesTheResponseAndClosesTheConnection() {
        endInput();

        assertThat(received).containsExactly("complete");
        assertThat(channel.isOpen()).isFalse();
    }

    @Test
    void failedReadThatAlsoEndsTheInputLosesTheResponse() {
        channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
        endInput();

        assertThat(received).first().isEqualTo("lost");
        assertThat(channel.isOpen()).isFalse();
    }

    // Netty closes the channel after a failed write, without an exception.
    @Test
    void closeWithoutAnEndOfInputLosesTheResponse() {
        channel.close();

        assertThat(received).first().isEqualTo("lost");
    }

    @Test
    void closeAfterTheEndOfInputDoesNotLoseTheResponse() {
        endInput();
        channel.close();

        assertThat(received).containsExactly("complete");
    }
}
