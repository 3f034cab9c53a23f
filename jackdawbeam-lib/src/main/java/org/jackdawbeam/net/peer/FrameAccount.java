package org.jackdawbeam.net.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import org.jackdawbeam.logic.budget.Holding;
import org.jackdawbeam.net.budget.HeldAccount;

/** Counts the bytes of a message until it is complete. */
final class FrameAccount extends ChannelInboundHandlerAdapter {
    private final HeldAccount account;

    FrameAccount(HeldAccount account) {
        this.account = account;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (account.phase() != Holding.Phase.RECEIVING) {
            account.begin(Holding.Phase.RECEIVING);
        }
        account.addToRequest(((ByteBuf) message).capacity());
        if (account.isEvicted()) {
            ReferenceCountUtil.release(message);
            return;
        }
        context.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        account.close();
        context.fireChannelInactive();
    }
}
