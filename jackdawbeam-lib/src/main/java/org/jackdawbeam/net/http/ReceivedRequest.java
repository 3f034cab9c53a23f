package org.jackdawbeam.net.http;

import io.netty.handler.codec.http.HttpRequest;

/**
 * A complete request.
 *
 * @param heldBytes what it holds of the budget until it has been answered
 */
record ReceivedRequest(HttpRequest head, byte[] body, long heldBytes) {}
