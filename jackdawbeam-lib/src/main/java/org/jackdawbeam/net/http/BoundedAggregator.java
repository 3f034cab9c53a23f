package org.jackdawbeam.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;

/** Aggregates the parts of a request and fires {@link HttpRequestError#BODY_TOO_LARGE} if the body is too large. */
final class BoundedAggregator extends HttpObjectAggregator {

    BoundedAggregator(int maximumBodyBytes) {
        super(maximumBodyBytes);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        context.fireUserEventTriggered(HttpRequestError.BODY_TOO_LARGE);
    }
}
