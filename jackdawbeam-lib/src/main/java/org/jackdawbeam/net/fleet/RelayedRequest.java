package org.jackdawbeam.net.fleet;

import java.util.Optional;
import org.jackdawbeam.net.http.HttpExchange;

/** A caller's request and how much of its response has been relayed. Not thread-safe. */
final class RelayedRequest {
    private final HttpExchange exchange;
    private Optional<AttemptRelay> attempt = Optional.empty();
    private Optional<String> lastEventId = Optional.empty();
    private String contentType = "";
    private boolean headSent;

    RelayedRequest(HttpExchange exchange) {
        this.exchange = exchange;
    }

    HttpExchange exchange() {
        return exchange;
    }

    Optional<AttemptRelay> attempt() {
        return attempt;
    }

    void startAttempt(AttemptRelay next) {
        attempt = Optional.of(next);
    }

    Optional<String> lastEventId() {
        return lastEventId;
    }

    void setLastEventId(Optional<String> eventId) {
        lastEventId = eventId;
    }

    boolean headSent() {
        return headSent;
    }

    /** Returns the content type of the answer whose head has been sent; empty if it had none. */
    String contentType() {
        return contentType;
    }

    void markHeadSent(String type) {
        headSent = true;
        contentType = type;
    }
}
