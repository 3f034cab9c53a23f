package org.jackdawbeam.logic.entry;

import java.util.OptionalLong;
import org.jackdawbeam.logic.configuration.SignatureVerifier;
import org.jackdawbeam.model.log.LogEntry;
import org.jackdawbeam.model.log.LogRecord;
import org.jackdawbeam.model.log.LogRecord.BundleRolled;
import org.jackdawbeam.model.log.LogRecord.KeyGiven;
import org.jackdawbeam.model.log.LogRecord.KeyWithdrawn;
import org.jackdawbeam.model.operator.OperatorAnswer;

/** Handles changes requested by operators. Of two competing changes the first in the log wins; the other conflicts. */
final class OperatorFlow {
    private final SignatureVerifier verifier;
    private final AppendFlow appends;

    OperatorFlow(SignatureVerifier verifier, AppendFlow appends) {
        this.verifier = verifier;
        this.appends = appends;
    }

    Transition onRequest(EntryState state, Event.OperatorRequested event) {
        return switch (event.record()) {
            case BundleRolled rolled -> rollBundle(state, event, rolled);
            case KeyWithdrawn withdrawn -> withdrawKey(state, event, withdrawn);
            default -> append(state, event);
        };
    }

    /** Answers the operator whose record has been read back from the log. */
    static Transition answer(EntryState state, OptionalLong operationId, LogEntry entry) {
        if (operationId.isEmpty()) {
            return Transition.to(state);
        }
        OperatorAnswer answer = tookEffect(state, entry.record())
                ? new OperatorAnswer.Applied(state.log().folded().version())
                : new OperatorAnswer.Conflict(state.log().folded().version());
        return Transition.to(state).with(new Effect.AnswerOperator(operationId.getAsLong(), answer));
    }

    private static boolean tookEffect(EntryState state, LogRecord record) {
        return switch (record) {
            case BundleRolled rolled ->
                state.log()
                        .folded()
                        .activeBundle()
                        .map(inForce -> inForce.record().recordId().equals(rolled.recordId()))
                        .orElse(false);
            case KeyGiven given ->
                given.key()
                        .equals(state.log().folded().givenKeys().get(given.key().id()));
            default -> true;
        };
    }

    private Transition rollBundle(EntryState state, Event.OperatorRequested event, BundleRolled rolled) {
        long version = state.log().folded().version();
        if (!verifier.accepts(rolled)) {
            return answerNow(state, event, new OperatorAnswer.BadSignature());
        }
        if (rolled.basedOn() != version) {
            return answerNow(state, event, new OperatorAnswer.Conflict(version));
        }
        return append(state, event);
    }

    private Transition withdrawKey(EntryState state, Event.OperatorRequested event, KeyWithdrawn withdrawn) {
        return WithdrawalFlow.start(state, event.nowMillis(), withdrawn.keyId())
                .then(next -> appends.append(next, event.nowMillis(), OptionalLong.empty(), withdrawn))
                .with(new Effect.AnswerOperator(event.operationId(), new OperatorAnswer.AppliedHere()));
    }

    private Transition append(EntryState state, Event.OperatorRequested event) {
        return appends.append(state, event.nowMillis(), OptionalLong.of(event.operationId()), event.record());
    }

    private static Transition answerNow(EntryState state, Event.OperatorRequested event, OperatorAnswer answer) {
        return Transition.to(state).with(new Effect.AnswerOperator(event.operationId(), answer));
    }
}
