package org.jackdawbeam.net.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaders;
import io.opentelemetry.api.trace.Span;
import java.util.Optional;
import org.jackdawbeam.model.request.AttemptId;
import org.jackdawbeam.net.http.BufferedHttpResponse;
import org.jackdawbeam.net.http.HttpExchange;

/** A request in flight with its connection, its body and the part of the response received so far. */
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

    /** Creates a request without an attempt. */
    public OpenRequest(
            long id, HttpExchange exchange, Optional<ObjectNode> completion, HttpHeaders targetHeaders, Span span) {
        this.id = id;
        this.exchange = exchange;
        this.completion = completion;
        this.targetHeaders = targetHeaders;
        this.span = span;
        this.arrivedAtNanos = System.nanoTime();
    }

    /** Returns the id of the request in the reducer. */
    public long id() {
        return id;
    }

    /** Returns the HTTP exchange with the caller. */
    public HttpExchange exchange() {
        return exchange;
    }

    /** Returns the JSON body if the request is a completion. */
    public Optional<ObjectNode> completion() {
        return completion;
    }

    /** Returns the headers to forward to targets. */
    public HttpHeaders targetHeaders() {
        return targetHeaders;
    }

    /** Returns the server span of the request. */
    public Span span() {
        return span;
    }

    /** Returns the time since the request arrived, in nanoseconds. */
    public long ageNanos() {
        return System.nanoTime() - arrivedAtNanos;
    }

    /** Makes the attempt the current one: only its response may be sent to the caller. */
    public void startAttempt(AttemptId attempt) {
        currentAttempt = attempt;
        response = null;
    }

    /** Returns whether the attempt is the current one. */
    public boolean isCurrent(AttemptId attempt) {
        return attempt.equals(currentAttempt);
    }

    /** Sets the complete response of the current attempt. */
    public void setResponse(BufferedHttpResponse complete) {
        response = complete;
    }

    /** Returns the complete response of the current attempt, if it has been received. */
    public Optional<BufferedHttpResponse> response() {
        return Optional.ofNullable(response);
    }

    /** Returns the number of tokens relayed to the caller. */
    public long relayedTokens() {
        return relayedTokens;
    }

    /** Adds to the number of tokens relayed to the caller. Must not be called by two threads at the same time. */
    public void addRelayedTokens(long tokens) {
        relayedTokens = relayedTokens + tokens;
    }
}
