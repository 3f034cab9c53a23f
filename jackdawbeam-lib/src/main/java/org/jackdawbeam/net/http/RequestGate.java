package org.jackdawbeam.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import org.jackdawbeam.logic.budget.Holding;
import org.jackdawbeam.net.budget.HeldAccount;

/**
 * Passes bytes on to the decoder in small parts, and none while a request is being answered, so that what the decoder
 * makes of them stays in proportion to the parts. Keeps undecoded bytes of pipelined requests.
 */
final class RequestGate extends ChannelInboundHandlerAdapter {
    private static final int HEAD_PART_BYTES = 1_024;
    private static final int BODY_PART_BYTES = 4_096;
    private static final int MAXIMUM_KEPT_BYTES = 16 * 1_024;

    private final HeldAccount account;
    private final RequestAssembler assembler;
    private final BooleanSupplier accepting;
    private final Deque<ByteBuf> kept = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private int keptBytes;

    /**
     * Creates a gate.
     *
     * @param accepting whether further bytes may be decoded
     */
    RequestGate(HeldAccount account, RequestAssembler assembler, BooleanSupplier accepting) {
        this.account = account;
        this.assembler = assembler;
        this.accepting = accepting;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext reading, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        try {
            if (kept.isEmpty()) {
                decode(bytes);
            }
            if (bytes.isReadable() && !account.isEvicted()) {
                keep(Unpooled.copiedBuffer(bytes));
            }
        } finally {
            bytes.release();
        }
    }

    /** Decodes kept bytes after a request has been answered. */
    void resume() {
        while (!kept.isEmpty() && accepting.getAsBoolean()) {
            ByteBuf first = kept.peek();
            int before = first.readableBytes();
            decode(first);
            keptBytes -= before - first.readableBytes();
            account.release(before - first.readableBytes());
            if (!first.isReadable()) {
                kept.poll();
            }
        }
        context.channel().config().setAutoRead(keptBytes < MAXIMUM_KEPT_BYTES);
    }

    @Override
    public void channelInactive(ChannelHandlerContext closed) {
        kept.clear();
        account.close();
        closed.fireChannelInactive();
    }

    private void decode(ByteBuf bytes) {
        while (bytes.isReadable() && accepting.getAsBoolean()) {
            if (account.phase() == Holding.Phase.IDLE) {
                account.begin(Holding.Phase.RECEIVING);
            }
            context.fireChannelRead(nextPart(bytes));
        }
    }

    private ByteBuf nextPart(ByteBuf bytes) {
        int missing = (int) Math.min(bytes.readableBytes(), assembler.missingBodyBytes());
        if (missing > 0) {
            return bytes.readRetainedSlice(missing);
        }
        boolean body = assembler.isReceivingBody();
        int length = Math.min(bytes.readableBytes(), body ? BODY_PART_BYTES : HEAD_PART_BYTES);
        if (!body) {
            account.addToRequest(length);
        }
        return Unpooled.copiedBuffer(bytes.readSlice(length)); // what is left of it undecoded keeps no large buffer
    }

    private void keep(ByteBuf bytes) {
        kept.add(bytes);
        keptBytes += bytes.readableBytes();
        account.add(bytes.readableBytes());
        context.channel().config().setAutoRead(keptBytes < MAXIMUM_KEPT_BYTES);
    }
}
