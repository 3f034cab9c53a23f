package org.jackdawbeam.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Limits the time from the first byte of a request to its last. */
final class ReceiveDeadline extends ChannelInboundHandlerAdapter {
    private final long receiveMillis;
    private Future<?> timer;

    ReceiveDeadline(long receiveMillis) {
        this.receiveMillis = receiveMillis;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (timer == null) {
            timer = context.executor()
                    .schedule(
                            () -> context.fireUserEventTriggered(HttpRequestError.TOO_SLOW),
                            receiveMillis,
                            TimeUnit.MILLISECONDS);
        }
        context.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        requestComplete();
        context.fireChannelInactive();
    }

    /** Cancels the timer. The first byte of the next request starts it again. */
    void requestComplete() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
