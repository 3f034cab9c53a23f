package org.jackdawbeam.logic.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jackdawbeam.logic.explain.Explanation;
import org.jackdawbeam.logic.explain.Explanation.Candidate;
import org.jackdawbeam.logic.explain.Explanation.CandidateState;
import org.jackdawbeam.logic.explain.Explanation.Outcome;
import org.jackdawbeam.model.fleet.CallerRequest;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.Route;

/**
 * Explains where a request would go now. The reducer is pure, so the arrival of the request is applied to the present
 * state, the effects are read, and both are dropped: nothing is sent, counted or remembered.
 */
public final class RequestExplainer {
    private static final long EXPLAINED_REQUEST = -1; // no request of a caller has this number

    private final FleetReducer reducer;

    public RequestExplainer(FleetReducer reducer) {
        this.reducer = reducer;
    }

    /** Returns what this entry would do with the request if it arrived now. */
    public Explanation explain(FleetState state, CallerRequest call, long nowMillis) {
        Reduction reduction = reducer.apply(state, new FleetEvent.RequestArrived(nowMillis, EXPLAINED_REQUEST, call));
        Optional<Question> question = findQuestion(state, reduction.effects());
        if (question.isPresent()) {
            FleetMessage.QuotaAnswer granted = new FleetMessage.QuotaAnswer(
                    question.get().owner(),
                    EXPLAINED_REQUEST,
                    question.get().message().round(),
                    true,
                    0);
            reduction = reducer.apply(reduction.state(), new FleetEvent.PeerReceived(nowMillis, granted));
        }
        Optional<Route> route = state.configuration().flatMap(known -> known.route(call.host(), call.path()));
        Optional<FleetRequest> request = request(reduction, route, call, nowMillis);
        Outcome outcome = outcome(reduction);
        return new Explanation(
                route.map(Route::name),
                request.map(FleetRequest::service),
                question.map(Question::owner),
                outcome,
                request.map(found -> candidates(state, found, outcome, nowMillis))
                        .orElse(List.of()));
    }

    private record Question(String owner, FleetMessage.QuotaQuestion message) {}

    private static Optional<Question> findQuestion(FleetState state, List<FleetEffect> effects) {
        for (FleetEffect effect : effects) {
            if (effect instanceof FleetEffect.SendPeerMessage message
                    && message.message() instanceof FleetMessage.QuotaQuestion question
                    && question.requestId() == EXPLAINED_REQUEST) {
                return state.peers().values().stream()
                        .filter(peer -> peer.member().peerAddress().equals(message.address()))
                        .map(peer -> new Question(peer.member().id(), question))
                        .findFirst();
            }
        }
        return Optional.empty();
    }

    /** Returns the request as the reducer has built it, or as it would be at its first attempt if it was refused. */
    private static Optional<FleetRequest> request(
            Reduction reduction, Optional<Route> route, CallerRequest call, long nowMillis) {
        return Optional.ofNullable(reduction.state().requests().get(EXPLAINED_REQUEST))
                .or(() -> route.map(
                        found -> RequestFlow.newRequest(EXPLAINED_REQUEST, call, found, Optional.empty(), nowMillis)));
    }

    private static Outcome outcome(Reduction reduction) {
        Outcome outcome = new Outcome.Waiting("no decision yet");
        for (FleetEffect effect : reduction.effects()) {
            outcome = switch (effect) {
                case FleetEffect.StartAttempt attempt
                when attempt.attempt().requestId() == EXPLAINED_REQUEST ->
                    new Outcome.Sent(
                            attempt.target().id(),
                            attempt.target().zone(),
                            attempt.priority(),
                            attempt.estimateMillis());
                case FleetEffect.RefuseRequest refused
                when refused.requestId() == EXPLAINED_REQUEST ->
                    new Outcome.Refused(
                            refused.refusal().code().name(),
                            refused.reason(),
                            refused.refusal().retryAfterMillis().stream()
                                    .boxed()
                                    .findFirst());
                case FleetEffect.Note note
                when note.event().equals("request_waiting")
                        && field(note, "request_number").equals(Long.toString(EXPLAINED_REQUEST)) ->
                    new Outcome.Waiting(field(note, "reason"));
                default -> outcome;
            };
        }
        return outcome;
    }

    private static String field(FleetEffect.Note note, String key) {
        int index = note.fields().lastIndexOf(key);
        return index < 0 ? "" : note.fields().get(index + 1);
    }

    /** Returns the target that the request would be sent to, and then the others by state and estimate. */
    private static List<Candidate> candidates(FleetState state, FleetRequest request, Outcome outcome, long nowMillis) {
        Candidates candidates = Candidates.of(state, request, nowMillis);
        Map<String, CandidateState> states = states(candidates);
        String sentTo = outcome instanceof Outcome.Sent sent ? sent.target() : "";
        return state.targets().values().stream()
                .filter(target -> target.description().service().equals(request.service()))
                .map(target -> candidate(state, request, candidates.engine(), target, states, nowMillis))
                .sorted(Comparator.comparing(
                                (Candidate candidate) -> !candidate.target().equals(sentTo))
                        .thenComparing(Candidate::state)
                        .thenComparingLong(candidate -> candidate.estimateMillis() + candidate.penaltyMillis())
                        .thenComparing(Candidate::target))
                .toList();
    }

    private static Candidate candidate(
            FleetState state,
            FleetRequest request,
            boolean engine,
            FleetTarget target,
            Map<String, CandidateState> states,
            long nowMillis) {
        TargetChooser.Choice choice = TargetChooser.estimate(state, request, target, engine, nowMillis);
        return new Candidate(
                target.description().id(),
                target.description().zone(),
                states.getOrDefault(target.description().id(), CandidateState.EXCLUDED),
                choice.prefillTokens(),
                choice.queuedAheadTokens(),
                choice.estimateMillis(),
                choice.penaltyMillis());
    }

    private static Map<String, CandidateState> states(Candidates candidates) {
        Map<String, CandidateState> states = new HashMap<>();
        candidates.available().forEach(target -> states.put(target.description().id(), CandidateState.NOT_ACCEPTING));
        candidates.usable().forEach(target -> states.put(target.description().id(), CandidateState.WITHOUT_MODEL));
        candidates.capable().forEach(target -> states.put(target.description().id(), CandidateState.CAPABLE));
        return states;
    }
}
