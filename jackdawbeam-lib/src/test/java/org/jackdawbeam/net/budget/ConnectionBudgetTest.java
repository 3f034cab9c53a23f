package org.jackdawbeam.net.budget;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.jackdawbeam.logic.budget.BudgetLimits;
import org.jackdawbeam.logic.budget.Holding.Phase;
import org.junit.jupiter.api.Test;

class ConnectionBudgetTest {
    private static final long LIMIT = 1_000_000;
    private static final int CONNECTIONS = 6;

    private final List<String> evicted = new ArrayList<>();
    private int toTargets;
    private final ConnectionBudget budget =
            new ConnectionBudget(new BudgetLimits(LIMIT, CONNECTIONS), () -> toTargets, () -> 0);

    private HeldAccount open(String name, Phase phase) {
        HeldAccount account = budget.open(evictedIn -> evicted.add(name + " " + evictedIn));
        account.begin(phase);
        return account;
    }

    // The load: unfinished heads of many short lines beside requests that wait for their answers.
    @Test
    void unfinishedRequestThatHoldsMostIsClosedFirst() {
        open("answering", Phase.ANSWERING).add(500_000);
        open("small", Phase.RECEIVING).add(10_000);
        HeldAccount large = open("large", Phase.RECEIVING);
        large.add(280_000);

        large.add(20_000);

        assertThat(evicted).containsExactly("large RECEIVING");
        assertThat(budget.heldBytes()).isEqualTo(510_000);
        assertThat(budget.evictions(ConnectionBudget.Reason.MEMORY)).isEqualTo(1);
    }

    // The load: clients that do not read their answers.
    @Test
    void unreadAnswerGivesWayToARequest() {
        open("stalled", Phase.STALLED).add(790_000);

        open("ordinary", Phase.RECEIVING).add(300_000);

        assertThat(evicted).containsExactly("stalled STALLED");
    }

    // The load: many clients that connect and send nothing.
    @Test
    void connectionThatHasBeenIdleForLongestGivesWayToANewOne() {
        toTargets = 2;
        HeldAccount first = open("first", Phase.IDLE);
        open("second", Phase.IDLE);
        open("answering", Phase.ANSWERING);
        first.begin(Phase.IDLE);
        open("third", Phase.IDLE);

        open("fourth", Phase.IDLE);

        assertThat(evicted).containsExactly("second IDLE");
    }

    // The load: as many slow readers of answers as there are places.
    @Test
    void unreadAnswerGivesWayToANewConnectionIfNoneIsIdle() {
        open("stalled", Phase.STALLED);
        open("answering", Phase.ANSWERING);
        toTargets = 4;

        open("new", Phase.RECEIVING).begin(Phase.ANSWERING);

        assertThat(evicted).containsExactly("stalled STALLED");
    }

    @Test
    void newConnectionIsClosedIfAllOthersWaitForAnswers() {
        open("answering", Phase.ANSWERING);
        open("answering", Phase.ANSWERING);
        toTargets = 4;

        open("new", Phase.IDLE);

        assertThat(evicted).containsExactly("new IDLE");
    }

    @Test
    void closedConnectionsHoldNothing() {
        HeldAccount account = open("closed", Phase.RECEIVING);
        account.addToRequest(400_000);

        account.close();
        account.release(account.endRequest());

        assertThat(budget.heldBytes()).isZero();
    }
}
