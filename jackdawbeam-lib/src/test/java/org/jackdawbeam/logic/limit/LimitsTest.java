package org.jackdawbeam.logic.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.assertj.core.data.Offset;
import org.jackdawbeam.model.bundle.WorkspaceSpecification;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LimitsTest {
    private static final WorkspaceSpecification PORTAL = new WorkspaceSpecification("portal", 100, 400);

    @ParameterizedTest
    @CsvSource({"0.5, 1000, 50", "0.5, 4000, 200", "0.5, 9000, 200", "0.25, 1000, 25", "0, 1000, 0"})
    void accruesTheShareOfTheRateUpToTheShareOfTheBurst(double share, long elapsed, double expected) {
        Limits limits = started(share).accrue(PORTAL, elapsed);

        assertThat(limits.balance("portal")).isEqualTo(expected, Offset.offset(1e-9));
    }

    @Test
    void smallerShareReducesBalanceAtNextAccrual() {
        Limits limits = started(1).accrue(PORTAL, 10_000).withShare(List.of(PORTAL), 0.25, 10_000);

        assertThat(limits.accrue(PORTAL, 10_000).balance("portal")).isEqualTo(100);
    }

    @Test
    void lentTokensReserveCapacityUntilTheLoanEnds() {
        Limits lent = started(1).accrue(PORTAL, 10_000).lend("portal", "loan", 150, 20_000);

        assertThat(lent.balance("portal")).isEqualTo(250);
        assertThat(lent.accrue(PORTAL, 19_000).balance("portal")).isEqualTo(250);
        Limits ended = lent.endLoan(PORTAL, "loan", 0, 19_000);
        assertThat(ended.balance("portal")).isEqualTo(250);
        assertThat(ended.accrue(PORTAL, 20_000).balance("portal")).isEqualTo(350);
    }

    @Test
    void loanExpiresWhenBorrowerDoesNotEndIt() {
        Limits lent = started(1).accrue(PORTAL, 10_000).lend("portal", "loan", 150, 20_000);

        Limits expired = lent.accrue(PORTAL, 20_000);

        assertThat(expired.balance("portal")).isEqualTo(250);
        assertThat(expired.accrue(PORTAL, 21_000).balance("portal")).isEqualTo(350);
    }

    @Test
    void endingALoanTwiceCreditsItOnce() {
        Limits lent = started(1).accrue(PORTAL, 10_000).lend("portal", "loan", 150, 20_000);
        Limits once = lent.endLoan(PORTAL, "loan", 150, 10_000);

        assertThat(once.balance("portal")).isEqualTo(400);
        assertThat(once.spend("portal", 400)
                        .endLoan(PORTAL, "loan", 150, 10_000)
                        .balance("portal"))
                .isZero();
    }

    @Test
    void refundNeverExceedsTheBurst() {
        Limits limits = started(1).accrue(PORTAL, 10_000).refund(PORTAL, 1_000, 10_000);

        assertThat(limits.balance("portal")).isEqualTo(400);
    }

    private static Limits started(double share) {
        return Limits.none().withShare(List.of(PORTAL), share, 0).accrue(PORTAL, 0);
    }
}
