package org.jackdawbeam.net.http;

/** Handles the requests that an {@link HttpServer} receives. */
@FunctionalInterface
public interface HttpExchangeHandler {

    /** Handles a request. Must not block; the response may be sent later and from any thread. */
    void handle(HttpExchange exchange);
}
