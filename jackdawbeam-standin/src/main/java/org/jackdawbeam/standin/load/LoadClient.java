package org.jackdawbeam.standin.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.jackdawbeam.net.http.ResponseCodec;

/** HTTP load client that measures the time to the first body byte and between events. Reuses connections. */
final class LoadClient {
    private final EventLoopGroup group;
    private final ConcurrentLinkedDeque<Channel> idle = new ConcurrentLinkedDeque<>();

    /** Receives the progress of a request. Times are in nanoseconds. */
    interface Listener {
        /** Called when the first body byte arrives, with the time since the request was sent. */
        void onFirstByte(long nanos);

        /** Called for each later part of the body, with the time since the previous part. */
        void onGap(long nanos);

        /** Called when the response is complete, with its duration and number of events. */
        void onEnd(int status, long nanos, long events);

        /** Called when the response is malformed, or when the connection fails or closes before its end. */
        void onFailure();
    }

    LoadClient(EventLoopGroup group) {
        this.group = group;
    }

    void send(InetSocketAddress address, String path, Map<String, String> headers, String body, Listener listener) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path, Unpooled.wrappedBuffer(bytes));
        headers.forEach((name, value) -> request.headers().set(name, value));
        request.headers().set(HttpHeaderNames.HOST, address.getHostString());
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        HttpUtil.setContentLength(request, bytes.length);
        long startedAtNanos = System.nanoTime();
        Channel pooled = takeIdle(address);
        if (pooled != null) {
            exchange(pooled, request, startedAtNanos, listener);
            return;
        }
        connect(address).addListener(done -> {
            ChannelFuture connected = (ChannelFuture) done;
            if (connected.isSuccess()) {
                exchange(connected.channel(), request, startedAtNanos, listener);
            } else {
                request.release();
                listener.onFailure();
            }
        });
    }

    private Channel takeIdle(InetSocketAddress address) {
        for (Channel channel : idle) {
            boolean usable = channel.isActive() && address.equals(channel.remoteAddress());
            if (usable && idle.remove(channel)) {
                return channel;
            }
        }
        return null;
    }

    private void exchange(Channel channel, DefaultFullHttpRequest request, long startedAtNanos, Listener listener) {
        channel.eventLoop().execute(() -> {
            channel.pipeline().addLast(new AnswerReader(startedAtNanos, listener));
            channel.writeAndFlush(request);
        });
    }

    private ChannelFuture connect(InetSocketAddress address) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new ResponseCodec());
                    }
                })
                .connect(address);
    }

    private final class AnswerReader extends SimpleChannelInboundHandler<HttpObject> {
        private final long startedAtNanos;
        private final Listener listener;
        private int status;
        private boolean keepAlive;
        private boolean ended;
        private long lastEventNanos;
        private long events;
        private byte lastByte;

        AnswerReader(long startedAtNanos, Listener listener) {
            this.startedAtNanos = startedAtNanos;
            this.listener = listener;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (message.decoderResult().isFailure()) {
                fail();
                context.close();
                return;
            }
            if (message instanceof HttpResponse response) {
                status = response.status().code();
                keepAlive = HttpUtil.isKeepAlive(response);
            }
            if (message instanceof HttpContent content) {
                onBody(content.content());
            }
            if (message instanceof LastHttpContent) {
                ended = true;
                context.pipeline().remove(this);
                if (keepAlive) {
                    idle.addFirst(context.channel());
                } else {
                    context.close();
                }
                listener.onEnd(status, System.nanoTime() - startedAtNanos, events);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail();
        }

        private void fail() {
            if (!ended) {
                ended = true;
                listener.onFailure();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        private void onBody(ByteBuf bytes) {
            if (!bytes.isReadable()) {
                return;
            }
            long nowNanos = System.nanoTime();
            if (lastEventNanos == 0) {
                listener.onFirstByte(nowNanos - startedAtNanos);
            } else {
                listener.onGap(nowNanos - lastEventNanos);
            }
            lastEventNanos = nowNanos;
            bytes.forEachByte(new EventCounter());
        }

        private final class EventCounter implements ByteProcessor {
            @Override
            public boolean process(byte value) {
                events += value == '\n' && lastByte == '\n' ? 1 : 0;
                lastByte = value;
                return true;
            }
        }
    }
}
