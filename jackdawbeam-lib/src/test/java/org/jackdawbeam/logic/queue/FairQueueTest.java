package org.jackdawbeam.logic.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class FairQueueTest {

    @Test
    void requestsOfOneWorkspaceAreDequeuedInOrder() {
        FairQueue queue =
                FairQueue.empty().add(1, "a", 10, 1).add(2, "a", 10, 1).add(3, "a", 10, 1);

        assertThat(drain(queue)).containsExactly(1L, 2L, 3L);
    }

    @Test
    void backlogOfOneWorkspaceDoesNotDelayAnother() {
        FairQueue queue = FairQueue.empty();
        for (long id = 1; id <= 10; id++) {
            queue = queue.add(id, "noisy", 10, 1);
        }
        queue = queue.add(11, "quiet", 10, 1);

        assertThat(drain(queue).indexOf(11L)).isLessThanOrEqualTo(1);
    }

    @Test
    void dequeuesInProportionToWeights() {
        FairQueue queue = FairQueue.empty();
        for (long id = 1; id <= 30; id++) {
            queue = queue.add(id, "large", 10, 2).add(100 + id, "small", 10, 1);
        }

        long large = drain(queue).stream().limit(15).filter(id -> id <= 30).count();

        assertThat(large).isEqualTo(10);
    }

    @Test
    void idleWorkspaceAccumulatesNoCredit() {
        FairQueue queue = FairQueue.empty()
                .add(1, "busy", 100, 1)
                .start(1)
                .add(2, "busy", 100, 1)
                .start(2);
        queue = queue.add(3, "busy", 100, 1).add(4, "idle", 100, 1).add(5, "idle", 100, 1);

        assertThat(drain(queue).indexOf(3L)).isLessThanOrEqualTo(1);
    }

    @Test
    void removedRequestIsNotDequeued() {
        FairQueue queue =
                FairQueue.empty().add(1, "a", 10, 1).add(2, "a", 10, 1).remove(1);

        assertThat(drain(queue)).containsExactly(2L);
        assertThat(queue.requestsBefore(2)).isZero();
    }

    private static List<Long> drain(FairQueue queue) {
        List<Long> order = new ArrayList<>();
        FairQueue rest = queue;
        while (rest.first().isPresent()) {
            long id = rest.first().get();
            order.add(id);
            rest = rest.start(id);
        }
        return order;
    }
}
