package org.jackdawbeam.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Closes a connection that receives bytes while no request is in progress, because they belong to none. It stands in
 * front of the codec, which would keep part of a head until the rest has come. A new connection is guarded at first.
 */
public final class IdleGuard extends ChannelInboundHandlerAdapter {
    private static final int DESCRIBED_BYTES = 64; // enough for a status line and an id

    private final Consumer<String> listener;
    private boolean idle = true;

    /**
     * Creates a guard.
     *
     * @param listener receives the beginning of the bytes as printable text
     */
    public IdleGuard(Consumer<String> listener) {
        this.listener = listener;
    }

    /** Lets all bytes on a connection pass, because a request is about to be sent. */
    public static void requestStarted(Channel channel) {
        channel.pipeline().get(IdleGuard.class).idle = false;
    }

    /**
     * Guards a connection again after a complete response. Closes it if more has been received than the response.
     *
     * @return whether the connection can be used again
     */
    public static boolean responseEnded(Channel channel) {
        IdleGuard guard = channel.pipeline().get(IdleGuard.class);
        if (guard == null) {
            return false; // handlers are removed from a channel that has closed
        }
        guard.idle = true;
        if (ResponseCodec.hasUndecodedBytes(channel)) {
            channel.close();
            guard.listener.accept("more than the response");
            return false;
        }
        return true;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!idle) {
            context.fireChannelRead(message);
            return;
        }
        context.close();
        if (message instanceof ByteBuf bytes) {
            listener.accept(describe(bytes));
        }
        ReferenceCountUtil.release(message);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (idle) {
            context.close();
            return;
        }
        context.fireExceptionCaught(cause);
    }

    private static String describe(ByteBuf bytes) {
        int length = Math.min(bytes.readableBytes(), DESCRIBED_BYTES);
        String text = bytes.toString(bytes.readerIndex(), length, StandardCharsets.ISO_8859_1);
        return text.replaceAll("[^ -~]|\"", ".");
    }
}
