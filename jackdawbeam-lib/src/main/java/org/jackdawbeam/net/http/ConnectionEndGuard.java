package org.jackdawbeam.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.PrematureChannelClosureException;

/**
 * Keeps a lost connection from completing a response that ends with its connection. The HTTP codec takes every close of
 * the channel for the end of such a response, also a close after a failed write or by this process. This handler, in
 * front of the codec, lets only an end of input that was read complete a response; any other close reaches the handlers
 * as an exception, before the codec learns of it.
 *
 * <p>The channel must allow half-closure, because the end of input is not reported otherwise. The handler closes the
 * channel after it.
 */
public final class ConnectionEndGuard extends ChannelInboundHandlerAdapter {
    private boolean inputEnded;
    private boolean lost;

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (!(event instanceof ChannelInputShutdownEvent)) {
            context.fireUserEventTriggered(event);
            return;
        }
        if (!lost) {
            // After a failed read the event is fired too, and then says nothing about the end of the response.
            inputEnded = true;
            context.fireUserEventTriggered(event);
        }
        context.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        lost = true;
        context.fireExceptionCaught(cause);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (!inputEnded && !lost) {
            exceptionCaught(context, new PrematureChannelClosureException("closed before the end of input was read"));
        }
        context.fireChannelInactive();
    }
}
