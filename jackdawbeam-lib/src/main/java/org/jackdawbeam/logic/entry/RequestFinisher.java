package org.jackdawbeam.logic.entry;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;
import org.jackdawbeam.logic.request.Request;
import org.jackdawbeam.logic.request.Work;
import org.jackdawbeam.model.bundle.WorkspaceSpecification;
import org.jackdawbeam.model.log.LogRecord.ClaimEnded;
import org.jackdawbeam.model.refusal.ExecutionStatus;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.request.StoredAnswer;

/** Finishes requests: removes them, refunds charged but unused tokens, and ends their claims. */
final class RequestFinisher {
    private static final StoredAnswer UNKNOWN_OUTCOME = new StoredAnswer(
            502,
            "application/json",
            Base64.getEncoder()
                    .encodeToString(("{\"error\":{\"code\":\"OUTCOME_UNKNOWN\","
                                    + "\"message\":\"a target may have executed the request\",\"ran\":\"unknown\"}}")
                            .getBytes(StandardCharsets.UTF_8)));

    private final AppendFlow appends;

    RequestFinisher(AppendFlow appends) {
        this.appends = appends;
    }

    /** Refuses a request and removes it. Requests that were not executed are refunded in full. */
    Transition refuse(EntryState state, Request request, Refusal refusal, long nowMillis) {
        double used = refusal.ran() == ExecutionStatus.NO ? 0 : usedTokens(request, request.relayedTokens());
        EntryState refunded = refund(state, request, used, nowMillis);
        EntryState removed = refunded.withRequests(refunded.requests().without(request));
        Optional<StoredAnswer> outcome = request.written() || refusal.ran() == ExecutionStatus.UNKNOWN
                ? Optional.of(UNKNOWN_OUTCOME)
                : Optional.empty();
        return Transition.to(removed)
                .with(new Effect.RefuseRequest(request.id(), refusal))
                .then(next -> endClaim(next, request, outcome, nowMillis));
    }

    /** Finishes a request that has been answered completely. */
    Transition complete(
            EntryState state, Request request, long generatedTokens, Optional<StoredAnswer> answer, long nowMillis) {
        EntryState refunded = refund(state, request, usedTokens(request, generatedTokens), nowMillis);
        EntryState removed = refunded.withRequests(refunded.requests().without(request));
        return endClaim(removed, request, answer, nowMillis);
    }

    /** Answers a request with the stored answer of another request. The charge is refunded in full. */
    Transition replay(EntryState state, Request request, StoredAnswer answer, long nowMillis) {
        // Entries of earlier versions store answers whatever their status is.
        StoredAnswer replayed = answer.hasValidStatus() ? answer : UNKNOWN_OUTCOME;
        EntryState refunded = refund(state, request, 0, nowMillis);
        return Transition.to(refunded.withRequests(refunded.requests().without(request)))
                .with(new Effect.ReplayAnswer(request.id(), replayed));
    }

    /** Refunds the unused part of the charge. */
    EntryState refund(EntryState state, Request request, double usedTokens, long nowMillis) {
        double unused = request.work().cost() - usedTokens;
        if (!request.isCharged() || unused <= 0) {
            return state;
        }
        Optional<WorkspaceSpecification> workspace =
                BorrowFlow.workspace(state, request.workspace().orElseThrow());
        return workspace
                .map(found -> state.withLimits(state.limits().refund(found, unused, nowMillis)))
                .orElse(state);
    }

    private static double usedTokens(Request request, long generatedTokens) {
        return switch (request.work()) {
            case Work.Completion completion -> completion.call().promptTokens() + Math.max(0, generatedTokens);
            case Work.Service service -> service.cost();
        };
    }

    private Transition endClaim(EntryState state, Request request, Optional<StoredAnswer> outcome, long nowMillis) {
        if (request.claimId().isEmpty()) {
            return Transition.to(state);
        }
        String scope = ClaimFlow.scope(request);
        String claimId = request.claimId().get();
        return appends.append(state, nowMillis, recordId -> new ClaimEnded(recordId, scope, claimId, outcome));
    }
}
