package org.jackdawbeam.net.peer;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/** Framing of the messages between entries: a length prefix of four bytes, then one MessagePack message. */
final class PeerFrames {
    private static final int MAXIMUM_FRAME_BYTES = 16 * 1024 * 1024;
    private static final int LENGTH_BYTES = 4;

    private PeerFrames() {}

    static void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(MAXIMUM_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                new LengthFieldPrepender(LENGTH_BYTES));
    }
}
