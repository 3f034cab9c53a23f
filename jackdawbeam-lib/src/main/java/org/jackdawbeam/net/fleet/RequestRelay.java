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

/** Holds the callers' open requests and carries out what the reducer decides about them. */
public final class RequestRelay {
    private final FleetLoop loop;
    private final TargetDialect dialect;
    private final TargetConnections connections;
    private final Function<HttpExchange, CallerRequest> reader;
    private final RefusalSender refusals;
    private final Map<Long, RelayedRequest> open = new HashMap<>();
    private long lastId;
    private boolean closing;

    /** Answers an exchange with a refusal. */
    @FunctionalInterface
    public interface RefusalSender {
        /** Sends the whole answer. */
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

    /** Takes over a caller's request. */
    public void accept(HttpExchange exchange) {
        long id = ++lastId;
        open.put(id, new RelayedRequest(exchange));
        if (closing) {
            exchange.closeAfterResponse();
        }
        if (loop.isLagging()) {
            // The caller may have left long ago, which is only seen after its request.
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

    /** Closes each connection after its next answer from now on. */
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

    /** Passes the answer of the attempt on. */
    public void relay(AttemptId id) {
        attempt(id).ifPresent(AttemptRelay::relay);
    }

    /** Ends the attempt. */
    public void cancel(AttemptId id) {
        attempt(id).ifPresent(AttemptRelay::cancel);
    }

    /** Answers a request negatively; an answer that has begun, as of a stream that cannot go on, is broken instead. */
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

    /** Ends an answer that has begun so that it does not look complete. */
    public void abortResponse(long requestId) {
        RelayedRequest request = open.remove(requestId);
        if (request != null) {
            request.attempt().ifPresent(AttemptRelay::cancel);
            request.exchange().abort();
        }
    }

    /** Forgets a request that nobody waits for. */
    public void forget(long requestId) {
        open.remove(requestId);
    }

    private void callerLeft(long id) {
        if (open.containsKey(id)) {
            loop.submit(new FleetEvent.CallerLeft(loop.nowMillis(), id));
        }
    }

    private Optional<AttemptRelay> attempt(AttemptId id) {
        return Optional.ofNullable(open.get(id.requestId())).flatMap(RelayedRequest::attempt);
    }
}
