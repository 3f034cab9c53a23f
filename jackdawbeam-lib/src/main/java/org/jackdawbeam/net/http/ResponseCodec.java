package org.jackdawbeam.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * HTTP codec for connections that carry one request at a time to servers that may send more than one response to it. It
 * tells whether bytes have been received beyond the end of a response, and rejects a head without a valid status, one
 * with whitespace in a field name, and one that consists of two: the beginning of a response that was cut off, and
 * the head of the next one.
 */
public final class ResponseCodec extends CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder> {
    /** The beginning of a status line with any number for a status; heads are decoded to ISO 8859-1. */
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/[0-9]+\\.[0-9]+\\s+[+-]?[0-9]+(\\s|$)", Pattern.CASE_INSENSITIVE);

    /** RFC 9110, section 15. */
    private static final Pattern STATUS_CODE = Pattern.compile("[1-5][0-9]{2}");

    private final Decoder decoder = new Decoder();

    public ResponseCodec() {
        init(decoder, new HttpRequestEncoder());
    }

    /** Returns whether the connection has received bytes that belong to no response decoded so far. */
    public static boolean hasUndecodedBytes(Channel channel) {
        ResponseCodec codec = channel.pipeline().get(ResponseCodec.class);
        return codec != null && codec.decoder.undecodedBytes() > 0;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        if (message instanceof HttpRequest request) {
            decoder.headRequest = HttpMethod.HEAD.equals(request.method());
            decoder.repeatableValues = statusLines(request.headers());
        }
        super.write(context, message, promise);
    }

    private static Set<String> statusLines(HttpHeaders headers) {
        Set<String> values = Set.of();
        for (Map.Entry<String, String> header : headers) {
            if (containsStatusLine(header.getValue())) {
                values = new HashSet<>(values);
                values.add(header.getValue());
            }
        }
        return values;
    }

    private static boolean containsStatusLine(String text) {
        return text.indexOf('/') >= 0 && STATUS_LINE.matcher(text).find();
    }

    private static final class Decoder extends HttpResponseDecoder {
        private boolean headRequest;
        /** Values of the request's headers that look like a status line; a server may repeat them. */
        private Set<String> repeatableValues = Set.of();

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws Exception {
            super.decode(context, input, output);
            for (Object message : output) {
                boolean merged = message instanceof HttpResponse response
                        && response.decoderResult().isSuccess()
                        && isMerged(response);
                if (merged) {
                    ((HttpResponse) message).setDecoderResult(DecoderResult.failure(new MergedHeadException()));
                }
            }
        }

        /** Checks the status as text, because its number hides a sign and leading zeros. */
        @Override
        protected HttpMessage createMessage(String[] statusLine) {
            String status = statusLine[1];
            if (!STATUS_CODE.matcher(status).matches()) {
                throw new IllegalArgumentException("status \"" + status + "\" is not a number from 100 to 599");
            }
            return super.createMessage(statusLine);
        }

        /** Checks what follows a name: the decoder takes whitespace for its end and drops the rest up to the colon. */
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (line[start + length] != ':') {
                throw new IllegalArgumentException("a field name is not followed by a colon");
            }
            return super.splitHeaderName(line, start, length);
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return headRequest || super.isContentAlwaysEmpty(message);
        }

        private boolean isMerged(HttpResponse response) {
            if (containsStatusLine(response.status().reasonPhrase())) {
                return true;
            }
            for (Map.Entry<String, String> header : response.headers()) {
                String value = header.getValue();
                if (containsStatusLine(value) && !repeatableValues.contains(value)) {
                    return true;
                }
            }
            return false;
        }

        private int undecodedBytes() {
            return actualReadableBytes();
        }
    }
}
