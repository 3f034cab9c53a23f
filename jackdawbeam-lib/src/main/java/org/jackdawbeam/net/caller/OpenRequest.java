package org.jackdawbeam.net.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaders;
import io.opentelemetry.api.trace.Span;
import java.util.Optional;
import org.jackdawbeam.model.request.AttemptId;
import org.jackdawbeam.net.http.BufferedHttpResponse;
import org.jackdawbeam.net.http.HttpExchange;

/** The edge's part of a request in flight: the connection, the body, and the answer as far as it has come. */
public final class OpenRequest {
    private final long id;
    private final HttpExchange exchange;
    private final Optional<ObjectNode> completion;
    private final HttpHeaders targetHeaders;
    private final Span span;
    private final long arrivedAtNanos;
    private volatile AttemptId currentAttempt;
    private volatile BufferedHttpResponse response;
    private volatile long relayedTokens;

    OpenRequest(long id, HttpExchange exchange, Optional<ObjectNode> completion, HttpHeaders targetHeaders, Span span) {
        this.id = id;
        this.exchange = exchange;
        this.completion = completion;
        this.targetHeaders = targetHeaders;
        this.span = span;
        this.arrivedAtNanos = System.nanoTime();
    }

    /** Returns the id under which the reducer knows the request. */
    public long id() {
        return id;
    }

    /** Returns the connection to the caller. */
    public HttpExchange exchange() {
        return exchange;
    }

    /** Returns the JSON body of a completion. */
    public Optional<ObjectNode> completion() {
        return completion;
    }

    /** Returns the headers that targets may see. */
    public HttpHeaders targetHeaders() {
        return targetHeaders;
    }

    /** Returns the span of the request. */
    public Span span() {
        return span;
    }

    /** Returns the time since the request arrived, in nanoseconds. */
    public long ageNanos() {
        return System.nanoTime() - arrivedAtNanos;
    }

    /** Makes the attempt the only one whose answer may reach the caller. */
    public void startAttempt(AttemptId attempt) {
        currentAttempt = attempt;
        response = null;
    }

    /** Returns whether the attempt's answer may reach the caller. */
    public boolean isCurrent(AttemptId attempt) {
        return attempt.equals(currentAttempt);
    }

    /** Keeps the whole answer of the current attempt. */
    public void setResponse(BufferedHttpResponse complete) {
        response = complete;
    }

    /** Returns the whole answer of the current attempt. */
    public Optional<BufferedHttpResponse> response() {
        return Optional.ofNullable(response);
    }

    /** Returns how many tokens were relayed to the caller. */
    public long relayedTokens() {
        return relayedTokens;
    }

    /** Counts tokens that were relayed to the caller. Called by one thread at a time. */
    public void addRelayedTokens(long tokens) {
        relayedTokens = relayedTokens + tokens;
    }
}
