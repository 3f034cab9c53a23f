package org.jackdawbeam.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.Arrays;
import org.jackdawbeam.net.budget.HeldAccount;

/** Assembles requests. The body is copied into one array, so that small parts of it do not keep large buffers. */
final class RequestAssembler extends SimpleChannelInboundHandler<HttpObject> {
    private static final int FIRST_CAPACITY = 4_096;
    private static final byte[] NO_BODY = new byte[0];

    private final int maximumBodyBytes;
    private final HeldAccount account;
    private HttpRequest head;
    private byte[] body = NO_BODY;
    private int length;
    private long statedLength;
    private boolean receiving;

    RequestAssembler(int maximumBodyBytes, HeldAccount account) {
        this.maximumBodyBytes = maximumBodyBytes;
        this.account = account;
    }

    /** Returns whether the head of a request has been received and the rest has not. */
    boolean isReceivingBody() {
        return receiving;
    }

    /** Returns how many bytes of the body are missing; 0 if that is not known. */
    long missingBodyBytes() {
        return receiving ? Math.max(0, statedLength - length) : 0;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (message.decoderResult().isFailure()) {
            ignoreRest();
            context.fireUserEventTriggered(requestError(message.decoderResult().cause()));
            return;
        }
        if (message instanceof HttpRequest request) {
            begin(context, request);
        }
        if (message instanceof HttpContent content) {
            append(context, content.content());
            if (content instanceof LastHttpContent) {
                end(context);
            }
        }
    }

    private void begin(ChannelHandlerContext context, HttpRequest request) {
        head = request;
        body = NO_BODY;
        length = 0;
        receiving = true;
        statedLength = HttpUtil.isTransferEncodingChunked(request) ? 0 : HttpUtil.getContentLength(request, 0L);
        boolean expectsContinue = HttpUtil.is100ContinueExpected(request);
        if (!expectsContinue
                && request.headers().contains(HttpHeaderNames.EXPECT)
                && request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0) {
            ignoreRest();
            context.fireUserEventTriggered(HttpRequestError.EXPECTATION_UNSUPPORTED);
        } else if (statedLength > maximumBodyBytes) {
            ignoreRest();
            context.fireUserEventTriggered(HttpRequestError.BODY_TOO_LARGE);
        } else if (expectsContinue) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
            request.headers().remove(HttpHeaderNames.EXPECT);
        }
        HttpUtil.setTransferEncodingChunked(request, false);
    }

    private void append(ChannelHandlerContext context, ByteBuf part) {
        int added = part.readableBytes();
        if (head == null || added == 0) {
            return;
        }
        if (added > maximumBodyBytes - length) {
            ignoreRest();
            context.fireUserEventTriggered(HttpRequestError.BODY_TOO_LARGE);
            return;
        }
        if (length + added > body.length && !grow(length + added)) {
            return;
        }
        part.readBytes(body, length, added);
        length += added;
    }

    private boolean grow(int needed) {
        long limit = statedLength > 0 ? statedLength : maximumBodyBytes;
        long doubled = Math.max(FIRST_CAPACITY, 2L * body.length);
        int capacity = (int) Math.max(needed, Math.min(limit, doubled));
        account.addToRequest(capacity - body.length);
        if (account.isEvicted()) {
            ignoreRest();
            return false;
        }
        body = Arrays.copyOf(body, capacity);
        return true;
    }

    private void end(ChannelHandlerContext context) {
        receiving = false;
        if (head == null) {
            return;
        }
        HttpRequest request = head;
        byte[] content = body.length == length ? body : Arrays.copyOf(body, length);
        ignoreRest();
        if (!HttpUtil.isContentLengthSet(request)) {
            HttpUtil.setContentLength(request, content.length);
        }
        context.fireChannelRead(new ReceivedRequest(request, content, account.endRequest()));
    }

    private void ignoreRest() {
        head = null;
        body = NO_BODY;
    }

    private static HttpRequestError requestError(Throwable cause) {
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        return tooLong ? HttpRequestError.HEADERS_TOO_LARGE : HttpRequestError.MALFORMED;
    }
}
