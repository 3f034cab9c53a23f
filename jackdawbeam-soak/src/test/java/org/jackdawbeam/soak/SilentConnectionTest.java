package org.jackdawbeam.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Connections that stay open but carry no bytes in either direction, as after a network partition. */
@Timeout(value = 90, unit = TimeUnit.SECONDS)
class SilentConnectionTest {
    private static final long STARTUP_MILLIS = 30_000;
    private static final long SETTLE_MILLIS = 4_000; // guarantees apply again after this time on the larger deployments
    private static final long ROUTE_TIMEOUT_MILLIS = 5_500; // the routes' timeout of 5 s and a margin of 0.5 s
    private static final long WITHDRAWAL_MILLIS = 5_000;
    private static final int FIRST_SERVICE = 3;
    private static final int SECOND_SERVICE = 4;

    @TempDir
    private Path folder;

    private SoakSite site;
    private int nextRequest;

    @BeforeEach
    void start() throws InterruptedException {
        site = new SoakSite(2, folder);
        site.entries().forEach(EntryProcess::start);
        await(STARTUP_MILLIS, () -> serves(0) && serves(1));
    }

    @AfterEach
    void stop() {
        site.close();
    }

    private static void await(long millis, BooleanSupplier condition) throws InterruptedException {
        long until = System.currentTimeMillis() + millis;
        while (!condition.getAsBoolean()) {
            assertThat(System.currentTimeMillis())
                    .as("current time, before the deadline")
                    .isLessThan(until);
            Thread.sleep(50);
        }
    }

    private Outcome pay(int entry) {
        RequestKind kind = RequestKind.PAYMENT;
        try (CallerConnection connection =
                new CallerConnection(site.entries().get(entry).callerPort())) {
            return connection.send(kind.toHttp("silent-" + nextRequest++, kind.key()));
        }
    }

    private boolean serves(int entry) {
        return pay(entry) instanceof Outcome.Answered answered && answered.status() == 200;
    }

    @Test
    void entriesServeWhileTheirPeersAreSilent() throws InterruptedException {
        site.peerProxy(0).hold(true, true);
        site.peerProxy(1).hold(true, true);

        await(SETTLE_MILLIS, () -> serves(0) && serves(1));
        for (int number = 0; number < 10; number++) {
            assertThat(serves(number % 2)).isTrue();
        }
    }

    @Test
    void paymentToASilentTargetIsAnsweredWithinTheRouteTimeout() {
        site.targetProxy(FIRST_SERVICE).hold(true, true);
        site.targetProxy(SECOND_SERVICE).hold(true, true);
        long sentAt = System.currentTimeMillis();

        Outcome outcome = pay(0);

        assertThat(outcome).isInstanceOf(Outcome.Answered.class);
        assertThat(System.currentTimeMillis() - sentAt).isLessThanOrEqualTo(ROUTE_TIMEOUT_MILLIS);
    }

    private void assertRefused(int entry) {
        assertThat(pay(entry)).isInstanceOfSatisfying(Outcome.Answered.class, answer -> {
            assertThat(answer.status()).isEqualTo(503);
            assertThat(answer.headers()).containsKey("retry-after");
        });
    }

    @Test
    void requestsWithKeysAreRefusedWhileTheStoreIsSilentAndServedAfterwards() throws InterruptedException {
        site.storeProxy(0).hold(true, true);
        site.storeProxy(1).hold(true, true);
        Thread.sleep(WITHDRAWAL_MILLIS);

        assertRefused(0);
        assertRefused(1);
        site.storeProxy(0).hold(false, false);
        site.storeProxy(1).hold(false, false);
        await(SETTLE_MILLIS, () -> serves(0) && serves(1));
    }

    @Test
    void entryWithoutTheStoreServesWhileAnotherEntryConfirmsItsConfiguration() throws InterruptedException {
        site.storeProxy(0).hold(true, true);
        Thread.sleep(WITHDRAWAL_MILLIS);
        assertThat(serves(0)).isTrue();
        assertThat(serves(1)).isTrue();

        site.entries().get(1).kill();
        Thread.sleep(WITHDRAWAL_MILLIS);

        assertRefused(0);
    }
}
