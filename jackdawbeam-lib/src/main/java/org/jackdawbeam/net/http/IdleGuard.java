package org.jackdawbeam.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import java.util.function.Consumer;

/** Closes a connection that receives data while no request is in progress, because that data belongs to none. */
public final class IdleGuard extends ChannelInboundHandlerAdapter {
    private final Consumer<String> listener;

    /**
     * Creates a guard.
     *
     * @param listener receives a description of the data
     */
    public IdleGuard(Consumer<String> listener) {
        this.listener = listener;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpResponse response) {
            listener.accept(response.protocolVersion() + " " + response.status());
        }
        ReferenceCountUtil.release(message);
        context.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
