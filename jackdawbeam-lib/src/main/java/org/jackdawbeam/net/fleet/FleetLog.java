package org.jackdawbeam.net.fleet;

import java.util.List;
import java.util.Optional;
import org.jackdawbeam.logic.fleet.FleetEffect;
import org.jackdawbeam.logic.fleet.FleetEvent;
import org.jackdawbeam.logic.fleet.FleetState;
import org.jackdawbeam.model.fleet.FleetConfiguration;
import org.jackdawbeam.model.refusal.ExecutionStatus;
import org.tinylog.Logger;

/** Logs one line for each decision that concerns a request or changes the entry's view of the fleet. */
public final class FleetLog implements FleetObserver {

    @Override
    public void onEvent(FleetState state, FleetEvent event) {
        if (event instanceof FleetEvent.AttemptCompleted completed) {
            Logger.info(
                    "event=attempt_completed request_number={} attempt={}",
                    completed.attempt().requestId(),
                    completed.attempt().number());
        }
    }

    @Override
    public void onEffect(FleetState state, FleetEvent cause, FleetEffect effect) {
        switch (effect) {
            case FleetEffect.StartAttempt start ->
                Logger.info(
                        "event=attempt_started request={} request_number={} attempt={} target={} deadline_ms={}"
                                + " estimate_ms={} prefill_tokens={} queued_tokens={} priority={} configuration={}{}",
                        start.callerRequestId(),
                        start.attempt().requestId(),
                        start.attempt().number(),
                        start.target().id(),
                        start.expiresAtMillis() - cause.nowMillis(),
                        start.estimateMillis(),
                        start.prefillTokens(),
                        start.queuedAheadTokens(),
                        start.priority(),
                        version(state),
                        pairs(start.traits().fields()));
            case FleetEffect.RefuseRequest refuse ->
                Logger.info(
                        "event=request_refused request={} request_number={} code={} ran={} retry_after_ms={}"
                                + " reason=\"{}\" configuration={}{}",
                        refuse.callerRequestId(),
                        refuse.requestId(),
                        refuse.refusal().code(),
                        refuse.refusal().ran() == ExecutionStatus.NO ? "no" : "unknown",
                        refuse.refusal().retryAfterMillis().orElse(-1),
                        refuse.reason(),
                        version(state),
                        pairs(refuse.traits().fields()));
            case FleetEffect.BreakAnswer broken ->
                Logger.info(
                        "event=answer_broken request={} request_number={} reason=\"{}\"",
                        broken.callerRequestId(),
                        broken.requestId(),
                        broken.reason());
            case FleetEffect.ForgetRequest forget ->
                Logger.info(
                        "event=caller_left request={} request_number={}", forget.callerRequestId(), forget.requestId());
            case FleetEffect.SendOrder send ->
                Logger.info(
                        "event=order_sent target={} action={} model={} adapter={} expected_count={} fencing_token={}"
                                + " started_at={} held_models={} held_adapters={}",
                        send.order().target(),
                        send.order().action(),
                        send.order().model(),
                        send.order().adapter().orElse("-"),
                        send.order().expectedCount(),
                        send.order().fencingToken(),
                        send.startedAtMillis(),
                        String.join("+", send.heldModels()),
                        send.heldAdapters());
            case FleetEffect.Note note -> Logger.info("{}", line(note));
            default -> {
                // Other effects, such as reads and heartbeats, carry no decision.
            }
        }
    }

    @Override
    public void onFailure(FleetEvent event, Throwable failure) {
        Logger.error(
                failure, "event=internal_failure while={}", event.getClass().getSimpleName());
    }

    private static long version(FleetState state) {
        return Optional.of(state)
                .flatMap(FleetState::configuration)
                .map(FleetConfiguration::version)
                .orElse(-1L);
    }

    private static String line(FleetEffect.Note note) {
        return "event=" + note.event() + pairs(note.fields());
    }

    /** Formats a list of alternating keys and values as {@code key=value} pairs, each after a space. */
    private static String pairs(List<String> fields) {
        StringBuilder line = new StringBuilder();
        for (int index = 0; index + 1 < fields.size(); index += 2) {
            String value = fields.get(index + 1);
            boolean plain = !value.isEmpty() && value.indexOf(' ') < 0;
            line.append(' ').append(fields.get(index)).append('=');
            line.append(plain ? value : '"' + value + '"');
        }
        return line.toString();
    }
}
