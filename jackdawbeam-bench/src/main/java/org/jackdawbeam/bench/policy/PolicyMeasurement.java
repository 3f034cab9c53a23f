package org.jackdawbeam.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jackdawbeam.model.fleet.CallerRequest;

/** Tracks the outcome of requests from the point of view of their callers, by attempt id. */
final class PolicyMeasurement {
    private final Map<String, CallerAttempt> attempts = new HashMap<>();
    private final Map<String, PolicyResult.Counts> byKind = new LinkedHashMap<>();
    private final Map<String, List<ServedShares.EndedRequest>> sizes = new LinkedHashMap<>();

    /** A request of a caller, across its first attempt and the retry that may follow a refusal. */
    static final class LogicalRequest {
        private final RequestKind kind;
        private final long size;
        private final double firstSentAtMillis;
        private boolean ended;

        LogicalRequest(RequestKind kind, long size, double firstSentAtMillis) {
            this.kind = kind;
            this.size = size;
            this.firstSentAtMillis = firstSentAtMillis;
        }

        RequestKind kind() {
            return kind;
        }

        double firstSentAtMillis() {
            return firstSentAtMillis;
        }

        boolean ended() {
            return ended;
        }
    }

    /** An attempt of a caller: the first one or the retry. */
    static final class CallerAttempt {
        private final CallerRequest call;
        private final LogicalRequest request;
        private final boolean retry;
        private double firstTokenAtMillis = -1;
        private double lastEventAtMillis;
        private double longestPauseMillis;

        CallerAttempt(CallerRequest call, LogicalRequest request, boolean retry) {
            this.call = call;
            this.request = request;
            this.retry = retry;
        }

        LogicalRequest request() {
            return request;
        }

        boolean isRetry() {
            return retry;
        }

        boolean hasFirstToken() {
            return firstTokenAtMillis >= 0;
        }

        double longestPauseMillis() {
            return longestPauseMillis;
        }

        private void recordEvent(double nowMillis) {
            longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastEventAtMillis);
            lastEventAtMillis = nowMillis;
        }
    }

    PolicyMeasurement(List<RequestKind> kinds) {
        for (RequestKind kind : kinds) {
            byKind.put(kind.name(), PolicyResult.Counts.none());
            sizes.put(kind.name(), new ArrayList<>());
        }
    }

    void recordArrival(RequestKind kind) {
        byKind.compute(kind.name(), (name, counts) -> counts.plusArrived());
    }

    void recordAttempt(CallerAttempt attempt) {
        attempts.put(attempt.call.callerRequestId(), attempt);
    }

    CallerAttempt attempt(String id) {
        return attempts.get(id);
    }

    CallerRequest call(String id) {
        return attempts.get(id).call;
    }

    /** Records the first token; an answer that resumes on another engine keeps the time of its original first token. */
    void recordFirstToken(String id, double nowMillis) {
        CallerAttempt attempt = attempts.get(id);
        if (attempt.hasFirstToken()) {
            attempt.recordEvent(nowMillis);
            return;
        }
        attempt.firstTokenAtMillis = nowMillis;
        attempt.lastEventAtMillis = nowMillis;
    }

    /** Records a further event of a stream. */
    void recordEvent(String id, double nowMillis) {
        attempts.get(id).recordEvent(nowMillis);
    }

    void recordCompletion(String id, double nowMillis) {
        CallerAttempt attempt = attempts.get(id);
        LogicalRequest request = attempt.request;
        boolean overdue = nowMillis - request.firstSentAtMillis > request.kind.deadlineMillis();
        attempt.recordEvent(nowMillis);
        boolean begunInTime = attempt.firstTokenAtMillis - request.firstSentAtMillis <= request.kind.objectiveMillis();
        boolean paused = attempt.longestPauseMillis > request.kind.pauseObjectiveMillis();
        if (overdue) {
            end(request, PolicyResult.Outcome.FAILED);
        } else if (!begunInTime) {
            end(request, PolicyResult.Outcome.LATE);
        } else {
            end(request, paused ? PolicyResult.Outcome.PAUSED : PolicyResult.Outcome.IN_TIME);
        }
    }

    void recordRefusal(LogicalRequest request) {
        end(request, PolicyResult.Outcome.REFUSED);
    }

    void recordFailure(LogicalRequest request) {
        end(request, PolicyResult.Outcome.FAILED);
    }

    /** Records the outcome of a request; only its first outcome counts. */
    private void end(LogicalRequest request, PolicyResult.Outcome outcome) {
        if (!request.ended) {
            request.ended = true;
            sizes.get(request.kind.name()).add(new ServedShares.EndedRequest(request.size, outcome));
            byKind.computeIfPresent(request.kind.name(), (name, counts) -> counts.plus(outcome));
        }
    }

    Map<String, PolicyResult.Counts> byKind() {
        return Map.copyOf(byKind);
    }

    /** Returns the sizes and outcomes of the ended requests by the name of their kind. */
    Map<String, List<ServedShares.EndedRequest>> sizes() {
        return Map.copyOf(sizes);
    }
}
