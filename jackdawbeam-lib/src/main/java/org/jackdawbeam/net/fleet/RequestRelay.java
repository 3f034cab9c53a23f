package org.jackdawbeam.net.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.jackdawbeam.logic.fleet.FleetEffect;
import org.jackdawbeam.logic.fleet.FleetEvent;
import org.jackdawbeam.model.fleet.CallerRequest;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.request.AttemptId;
import org.jackdawbeam.net.http.HttpExchange;
import org.jackdawbeam.net.target.TargetConnections;

/** Keeps the open requests of callers and executes the reducer's decisions on them. */
public final class RequestRelay {
    private final FleetLoop loop;
    private final TargetDialect dialect;
    private final TargetConnections connections;
    private final Function<HttpExchange, CallerRequest> reader;
    private final RefusalSender refusals;
    private final Map<Long, RelayedRequest> open = new HashMap<>();
    private long lastId;
    private boolean closing;

    /** Responds to a request with a refusal. */
    @FunctionalInterface
    public interface RefusalSender {
        /** Sends the complete response. */
        void send(HttpExchange exchange, Refusal refusal);
    }

    public RequestRelay(
            FleetLoop loop,
            TargetDialect dialect,
            TargetConnections connections,
            Function<HttpExchange, CallerRequest> reader,
            RefusalSender refusals) {
        this.loop = loop;
        this.dialect = dialect;
        this.connections = connections;
        this.reader = reader;
        this.refusals = refusals;
    }

    /** Accepts a caller's request. */
    public void accept(HttpExchange exchange) {
        long id = ++lastId;
        open.put(id, new RelayedRequest(exchange));
        if (closing) {
            exchange.closeAfterResponse();
        }
        if (loop.isLagging()) {
            // The caller may have disconnected long ago, which is only detected after its request has been read.
            exchange.onClientDisconnect(() -> open.remove(id));
            loop.runAfterPendingReads(() -> begin(id, exchange));
            return;
        }
        begin(id, exchange);
    }

    private void begin(long id, HttpExchange exchange) {
        if (!open.containsKey(id)) {
            return;
        }
        exchange.onClientDisconnect(() -> callerLeft(id));
        loop.submit(new FleetEvent.RequestArrived(loop.nowMillis(), id, reader.apply(exchange)));
    }

    /** From now on, closes each connection after its next response. */
    public void closeConnectionsAfterResponses() {
        closing = true;
        open.values().forEach(request -> request.exchange().closeAfterResponse());
    }

    /** Starts an attempt. */
    public void start(FleetEffect.StartAttempt start) {
        RelayedRequest request = open.get(start.attempt().requestId());
        if (request == null) {
            return;
        }
        AttemptRelay attempt = new AttemptRelay(
                start,
                request,
                dialect,
                connections,
                loop,
                () -> open.remove(start.attempt().requestId()));
        request.startAttempt(attempt);
        attempt.start();
    }

    /** Starts to relay the response of the attempt. */
    public void relay(AttemptId id) {
        attempt(id).ifPresent(AttemptRelay::relay);
    }

    /** Cancels the attempt. */
    public void cancel(AttemptId id) {
        attempt(id).ifPresent(AttemptRelay::cancel);
    }

    /**
     * Refuses a request. If its response has already started, as with a stream that cannot be continued, the connection
     * is closed instead.
     */
    public void refuse(long requestId, Refusal refusal) {
        RelayedRequest request = open.remove(requestId);
        if (request == null) {
            return;
        }
        if (request.headSent()) {
            request.exchange().abort();
        } else {
            refusals.send(request.exchange(), refusal);
        }
    }

    /** Aborts a response that has started, in such a way that it does not look complete. */
    public void abortResponse(long requestId) {
        RelayedRequest request = open.remove(requestId);
        if (request != null) {
            request.attempt().ifPresent(AttemptRelay::cancel);
            request.exchange().abort();
        }
    }

    /** Removes a request whose caller has disconnected. */
    public void forget(long requestId) {
        open.remove(requestId);
    }

    private void callerLeft(long id) {
        RelayedRequest request = open.get(id);
        if (request != null) {
            loop.submit(new FleetEvent.CallerLeft(loop.nowMillis(), id));
            request.attempt().ifPresent(AttemptRelay::discardIfCallerLeft);
        }
    }

    private Optional<AttemptRelay> attempt(AttemptId id) {
        return Optional.ofNullable(open.get(id.requestId())).flatMap(RelayedRequest::attempt);
    }
}
