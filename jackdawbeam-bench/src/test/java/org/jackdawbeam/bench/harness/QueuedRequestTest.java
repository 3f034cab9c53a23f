package org.jackdawbeam.bench.harness;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.jackdawbeam.bench.decision.Site;
import org.jackdawbeam.logic.entry.EntryOptions;
import org.jackdawbeam.logic.request.Request;
import org.jackdawbeam.model.bundle.Bundle;
import org.jackdawbeam.model.log.LogRecord.KeyWithdrawn;
import org.jackdawbeam.model.refusal.ExecutionStatus;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.refusal.RefusalCode;
import org.jackdawbeam.model.request.AttemptId;
import org.jackdawbeam.model.request.Call.CompletionCall;
import org.junit.jupiter.api.Test;

class QueuedRequestTest {
    private static final Site SITE = new Site("small", 2, 1, 1, 0, 2, 1, List.of(1.0));
    private final EventQueue queue = new EventQueue();
    private final List<Refusal> refusals = new ArrayList<>();
    private int attempts;
    private int completed;

    @Test
    void queuedRequestWithWithdrawnKeyIsNeverDispatched() {
        Fleet fleet = fleetWithQueuedRequest();
        fleet.submitOperatorRequest(fleet.nodes().get(1), new KeyWithdrawn("operator/1", "k0"));
        queue.runUntil(9_000);

        fleet.engines().values().forEach(FakeEngine::restart);
        queue.runUntil(18_000);

        assertThat(attempts).isZero();
        assertThat(refusals).singleElement().satisfies(refusal -> {
            assertThat(refusal.code()).isEqualTo(RefusalCode.KEY_WITHDRAWN);
            assertThat(refusal.ran()).isEqualTo(ExecutionStatus.NO);
        });
    }

    @Test
    void queuedRequestIsDispatchedWhenItsModelIsLoaded() {
        Fleet fleet = fleetWithQueuedRequest();

        fleet.engines().values().forEach(FakeEngine::restart);
        queue.runUntil(18_000);

        assertThat(completed).isEqualTo(1);
        assertThat(refusals).isEmpty();
    }

    private Fleet fleetWithQueuedRequest() {
        Fleet fleet = new Fleet(queue, Network.reliable(1), EntryOptions.defaults(), new CountingObserver());
        Bundle bundle = SITE.bundle(10_000);
        fleet.addTargets(bundle, 100);
        fleet.engines().values().forEach(FakeEngine::kill);
        fleet.addNode("entry-0", "a");
        fleet.addNode("entry-1", "b");
        queue.after(500, () -> fleet.submitOperatorRequest(fleet.nodes().getFirst(), fleet.roll(bundle, 0, "first")));
        queue.runUntil(8_000);
        CompletionCall call = new CompletionCall(Site.model(0), 10, List.of(), 5, true);
        fleet.request(fleet.nodes().getFirst(), 1, Fleet.requestTemplate(SITE.credential(0), call), 5);
        queue.runUntil(8_500);
        return fleet;
    }

    private final class CountingObserver implements FleetObserver {
        @Override
        public void onAttempt(Node node, Request request, AttemptId attempt, String target) {
            attempts++;
        }

        @Override
        public void onCompleted(Node node, AttemptId attempt) {
            completed++;
        }

        @Override
        public void onRefused(Node node, long requestId, Refusal refusal) {
            refusals.add(refusal);
        }
    }
}
