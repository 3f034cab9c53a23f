package org.jackdawbeam.net.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import org.jackdawbeam.net.budget.HeldAccount;

/** Header lines that are counted as they are decoded, as a short line takes much more memory than its bytes. */
final class CountedHeaders extends DefaultHttpHeaders {
    private static final int REQUEST_BYTES = 1_024;
    private static final int LINE_BYTES = 160; // an entry, and name and value each with an array

    private final HeldAccount account;

    private CountedHeaders(HeldAccount account) {
        this.account = account;
    }

    static HttpHeadersFactory factory(HeldAccount account) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                account.addToRequest(REQUEST_BYTES);
                return new CountedHeaders(account);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return newHeaders();
            }
        };
    }

    /** Returns headers that stay empty, for trailers, which nobody reads. */
    static HttpHeadersFactory ignored() {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new IgnoredHeaders();
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return newHeaders();
            }
        };
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        int length = value instanceof CharSequence text ? text.length() : 0;
        account.addToRequest(LINE_BYTES + name.length() + length);
        return account.isEvicted() ? this : super.add(name, value);
    }

    private static final class IgnoredHeaders extends DefaultHttpHeaders {
        @Override
        public HttpHeaders add(CharSequence name, Object value) {
            return this;
        }
    }
}
