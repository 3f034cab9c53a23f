package org.jackdawbeam.net.target;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ReferenceCountUtil;

/**
 * Limits the bytes that a target may send before the head of the expected response: blank lines, interim responses and
 * responses to other requests. Without the limit a target could send such bytes for as long as a request waits.
 */
public final class AnswerHeadLimit extends ChannelInboundHandlerAdapter {
    // Many times the size of a head; also leaves room for a complete response to another request.
    private static final long MAXIMUM_BYTES = 1024 * 1024;

    private long bytes;
    private boolean waiting = true;

    /** Lifts the limit on a connection when the response has started. */
    public static void responseStarted(Channel channel) {
        AnswerHeadLimit limit = channel.pipeline().get(AnswerHeadLimit.class);
        if (limit != null) {
            limit.waiting = false;
        }
    }

    /** Applies the limit again before the next request on a connection. */
    static void reset(Channel channel) {
        AnswerHeadLimit limit = channel.pipeline().get(AnswerHeadLimit.class);
        if (limit != null) {
            limit.waiting = true;
            limit.bytes = 0;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        bytes += waiting && message instanceof ByteBuf part ? part.readableBytes() : 0;
        if (waiting && bytes > MAXIMUM_BYTES) {
            ReferenceCountUtil.release(message);
            context.fireExceptionCaught(new TooLongFrameException("no response head within " + bytes + " bytes"));
            return;
        }
        context.fireChannelRead(message);
    }
}
