package org.jackdawbeam.net.entry;

import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jackdawbeam.logic.entry.Effect;
import org.jackdawbeam.logic.entry.Event;
import org.jackdawbeam.logic.entry.OrderOutcome;
import org.jackdawbeam.model.log.LogRecord;
import org.jackdawbeam.model.peer.PeerMessage;
import org.jackdawbeam.model.request.AttemptFailure;
import org.jackdawbeam.model.request.AttemptId;
import org.jackdawbeam.model.request.StoredAnswer;
import org.jackdawbeam.model.time.MonotonicClock;
import org.jackdawbeam.net.caller.OpenRequest;
import org.jackdawbeam.net.caller.OpenRequests;
import org.jackdawbeam.net.caller.RefusalWriter;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.http.BufferedHttpResponse;
import org.jackdawbeam.net.operator.PendingOperatorRequests;
import org.jackdawbeam.net.peer.PeerConnections;
import org.jackdawbeam.net.platform.PlatformClient;
import org.jackdawbeam.net.target.AttemptListener;
import org.jackdawbeam.net.target.EngineControl;
import org.jackdawbeam.net.target.TargetClient;

/** Runs effects with the network clients and submits their results to the event loop as events. */
public final class EntryEffects implements EffectRunner {
    private static final String JSON = "application/json";
    private static final Map<String, String> REPLAYED = Map.of("idempotency-replayed", "true");

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final OpenRequests requests;
    private final PendingOperatorRequests operators;
    private final PlatformClient platform;
    private final PeerConnections<PeerMessage> peers;
    private final TargetClient targets;
    private final EngineControl engines;
    private final MessageMapper mapper;
    private final RefusalWriter refusals;
    private final Runnable onExit;

    public EntryEffects(
            EventLoop loop,
            MonotonicClock clock,
            OpenRequests requests,
            PendingOperatorRequests operators,
            PlatformClient platform,
            PeerConnections<PeerMessage> peers,
            TargetClient targets,
            EngineControl engines,
            MessageMapper mapper,
            Runnable onExit) {
        this.loop = loop;
        this.clock = clock;
        this.requests = requests;
        this.operators = operators;
        this.platform = platform;
        this.peers = peers;
        this.targets = targets;
        this.engines = engines;
        this.mapper = mapper;
        this.refusals = new RefusalWriter(mapper);
        this.onExit = onExit;
    }

    @Override
    public void run(Effect effect) {
        switch (effect) {
            case Effect.ReadLog read -> readLog(read);
            case Effect.AppendRecords append -> append(append);
            case Effect.SendPeerMessage send -> peers.send(send.address(), send.message());
            case Effect.PollLoad poll -> pollLoad(poll);
            case Effect.PollHostList poll -> pollHostList();
            case Effect.StartAttempt start -> startAttempt(start);
            case Effect.CancelAttempt cancel -> targets.cancel(cancel.attempt());
            case Effect.CompleteRequest complete -> complete(complete);
            case Effect.RefuseRequest refuse -> refuse(refuse);
            case Effect.ReplayAnswer replay -> replay(replay);
            case Effect.AnswerModels models -> respondWithModels(models);
            case Effect.SendOrder order -> sendOrder(order);
            case Effect.Schedule schedule ->
                loop.schedule(schedule.delayMillis(), () -> schedule.timer().firedAt(clock.nowMillis()));
            case Effect.AnswerOperator answer -> operators.complete(answer.operationId(), answer.answer());
            case Effect.Exit exit -> onExit.run();
        }
    }

    private void readLog(Effect.ReadLog read) {
        long askedAt = clock.nowMillis();
        platform.read(read.fromOffset()).whenComplete((page, failure) -> {
            long now = clock.nowMillis();
            loop.submit(
                    failure == null
                            ? new Event.LogRead(now, askedAt, page.entries(), page.headOffset())
                            : new Event.LogReadFailed(now, askedAt));
        });
    }

    private void append(Effect.AppendRecords append) {
        List<String> ids = append.records().stream().map(LogRecord::recordId).toList();
        platform.append(append.records())
                .whenComplete(
                        (done, failure) -> loop.submit(new Event.AppendEnded(clock.nowMillis(), ids, failure == null)));
    }

    private void pollLoad(Effect.PollLoad poll) {
        long askedAt = clock.nowMillis();
        String name = poll.target().name();
        engines.fetchLoad(poll.target()).whenComplete((report, failure) -> {
            long now = clock.nowMillis();
            if (failure != null) {
                loop.submit(new Event.LoadUnavailable(now, name));
                return;
            }
            loop.submit(new Event.LoadReported(now, name, askedAt, report.load()));
            boolean cacheChanged =
                    !report.added().isEmpty() || !report.dropped().isEmpty();
            if (cacheChanged) {
                loop.submit(new Event.CacheAnnounced(now, name, report.added(), report.dropped()));
            }
        });
    }

    private void pollHostList() {
        long askedAt = clock.nowMillis();
        platform.leavingHosts().whenComplete((leaving, failure) -> {
            if (failure == null) {
                loop.submit(new Event.HostListRead(clock.nowMillis(), askedAt, leaving));
            }
        });
    }

    private void sendOrder(Effect.SendOrder order) {
        String target = order.target().name();
        long sequence = order.order().sequence();
        if (clock.nowMillis() >= order.notAfterMillis()) {
            loop.submit(new Event.OrderAnswered(clock.nowMillis(), target, sequence, OrderOutcome.UNKNOWN, ""));
            return;
        }
        engines.sendOrder(order)
                .thenAccept(response -> loop.submit(new Event.OrderAnswered(
                        clock.nowMillis(), target, sequence, response.outcome(), response.engineRun())));
    }

    private void startAttempt(Effect.StartAttempt start) {
        Optional<OpenRequest> request = requests.find(start.attempt().requestId());
        if (request.isPresent()) {
            targets.start(start, request.get(), new AttemptEventSubmitter(start.attempt(), request.get()));
        }
    }

    private void complete(Effect.CompleteRequest complete) {
        requests.remove(complete.attempt().requestId()).ifPresent(request -> {
            if (request.exchange().isStreaming()) {
                request.exchange().endStream();
            } else {
                request.response().ifPresent(response -> respond(request, response, Map.of()));
            }
            request.span().end();
        });
    }

    private void refuse(Effect.RefuseRequest refuse) {
        requests.remove(refuse.requestId()).ifPresent(request -> {
            refusals.write(request.exchange(), refuse.refusal());
            request.span().setAttribute("refusal", refuse.refusal().code().name());
            request.span().end();
        });
    }

    private void replay(Effect.ReplayAnswer replay) {
        requests.remove(replay.requestId()).ifPresent(request -> {
            StoredAnswer stored = replay.answer();
            byte[] body = Base64.getDecoder().decode(stored.body());
            respond(request, new BufferedHttpResponse(stored.status(), stored.contentType(), body), REPLAYED);
            request.span().end();
        });
    }

    private void respondWithModels(Effect.AnswerModels models) {
        requests.remove(models.requestId()).ifPresent(request -> {
            List<Map<String, String>> data = models.models().stream()
                    .map(name -> Map.of("id", name, "object", "model"))
                    .toList();
            byte[] body = mapper.write(Map.of("object", "list", "data", data));
            respond(request, new BufferedHttpResponse(200, JSON, body), Map.of());
            request.span().end();
        });
    }

    private static void respond(OpenRequest request, BufferedHttpResponse response, Map<String, String> headers) {
        String contentType = response.contentType().isEmpty() ? JSON : response.contentType();
        request.exchange().respond(response.status(), contentType, response.body(), headers);
    }

    private final class AttemptEventSubmitter implements AttemptListener {
        private final AttemptId attempt;
        private final OpenRequest request;

        AttemptEventSubmitter(AttemptId attempt, OpenRequest request) {
            this.attempt = attempt;
            this.request = request;
        }

        @Override
        public void onWritten() {
            loop.submit(new Event.AttemptWritten(clock.nowMillis(), attempt));
        }

        @Override
        public void onAnswering() {
            loop.submit(new Event.AttemptAnswering(clock.nowMillis(), attempt));
        }

        @Override
        public void onCompleted(long generatedTokens, double slowGapShare, Optional<StoredAnswer> answer) {
            loop.submit(new Event.AttemptCompleted(clock.nowMillis(), attempt, generatedTokens, slowGapShare, answer));
        }

        @Override
        public void onFailed(AttemptFailure failure, boolean mayHaveRun) {
            loop.submit(
                    new Event.AttemptFailed(clock.nowMillis(), attempt, failure, mayHaveRun, request.relayedTokens()));
        }
    }
}
