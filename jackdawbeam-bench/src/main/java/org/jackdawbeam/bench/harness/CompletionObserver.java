package org.jackdawbeam.bench.harness;

import java.util.Optional;
import org.jackdawbeam.logic.entry.Effect;
import org.jackdawbeam.logic.entry.Event;
import org.jackdawbeam.logic.request.Work;
import org.jackdawbeam.model.request.AttemptFailure;

/** Translates the progress of a completion into events for the node that started it. */
final class CompletionObserver implements FakeEngine.AttemptObserver {
    private final Fleet fleet;
    private final FleetObserver observer;
    private final Node node;
    private final Effect.StartAttempt start;
    private final Fleet.AttemptKey key;
    private boolean answering;
    private boolean ended;

    CompletionObserver(
            Fleet fleet, FleetObserver observer, Node node, Effect.StartAttempt start, Fleet.AttemptKey key) {
        this.fleet = fleet;
        this.observer = observer;
        this.node = node;
        this.start = start;
        this.key = key;
    }

    @Override
    public void onFirstToken() {
        answering = true;
        fleet.after(() -> node.submit(now -> new Event.AttemptAnswering(now, start.attempt())));
        if (start.resumeOffset() == 0) {
            observer.onFirstToken(node, start.attempt().requestId());
        }
    }

    @Override
    public void onGap(double millis) {
        observer.onGap(node, start.attempt().requestId(), millis);
    }

    @Override
    public void onCompleted(int tokens, double slowGapShare) {
        ended = true;
        fleet.takeCancellation(key);
        long total = start.resumeOffset() + tokens;
        fleet.after(() -> node.submit(
                now -> new Event.AttemptCompleted(now, start.attempt(), total, slowGapShare, Optional.empty())));
    }

    @Override
    public void onFailed(AttemptFailure failure, boolean mayHaveRun, int tokens) {
        ended = true;
        fleet.takeCancellation(key);
        boolean streamed = start.work() instanceof Work.Completion completion
                && completion.call().streamed();
        long relayed = streamed ? start.resumeOffset() + tokens : 0;
        fleet.fail(node, start.attempt(), failure, mayHaveRun, relayed);
    }

    boolean hasEnded() {
        return ended;
    }

    void checkFirstByte() {
        if (!answering && !ended) {
            fleet.takeCancellation(key).ifPresent(Runnable::run);
            ended = true;
            fleet.fail(node, start.attempt(), AttemptFailure.TIMED_OUT, true, start.resumeOffset());
        }
    }
}
