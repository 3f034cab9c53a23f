package org.jackdawbeam.net.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jackdawbeam.logic.fleet.FleetEffect;
import org.jackdawbeam.logic.fleet.FleetEvent;
import org.jackdawbeam.logic.fleet.FleetReducer;
import org.jackdawbeam.logic.fleet.FleetState;
import org.jackdawbeam.model.fleet.FleetBounds;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.time.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** An unexpected failure must affect only the event or effect that causes it. */
class FleetLoopTest {
    private static final long SEVERAL_TICKS_MILLIS = 400;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<FleetEvent> applied = new CopyOnWriteArrayList<>();
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private final FleetObserver observer = new FleetObserver() {
        @Override
        public void onEvent(FleetState state, FleetEvent event) {
            applied.add(event);
        }

        @Override
        public void onEffect(FleetState state, FleetEvent cause, FleetEffect effect) {}

        @Override
        public void onFailure(FleetEvent event, Throwable failure) {
            failures.add(failure.getMessage());
        }
    };

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private FleetLoop start(Consumer<FleetEffect> runner) throws Exception {
        FleetMember self = new FleetMember("a", "a/1", "z", "127.0.0.1:1", "127.0.0.1:2", 100);
        FleetBounds bounds = new FleetBounds(60_000, true, 3_000, 8_000, 0.2, 56, 10_000, 5_000, 5);
        FleetLoop loop = new FleetLoop(
                new FleetReducer(), FleetState.initial(self, bounds), MonotonicClock.system(), group.next(), observer);
        loop.start(runner);
        Thread.sleep(SEVERAL_TICKS_MILLIS);
        return loop;
    }

    private long ticks() {
        return applied.stream().filter(FleetEvent.Ticked.class::isInstance).count();
    }

    @Test
    void failedEffectDoesNotStopTheEffectsAfterIt() throws Exception {
        List<FleetEffect> run = new CopyOnWriteArrayList<>();

        start(effect -> {
            if (effect instanceof FleetEffect.ReadFeed read && run.isEmpty()) {
                run.add(effect);
                throw new IllegalArgumentException("address that cannot be read");
            }
            run.add(effect);
        });

        assertThat(run).filteredOn(FleetEffect.ReadFeed.class::isInstance).hasSizeGreaterThanOrEqualTo(3);
        assertThat(run).anyMatch(FleetEffect.Announce.class::isInstance);
        assertThat(failures).contains("address that cannot be read");
    }

    @Test
    void readThatFailsToStartIsRetried() throws Exception {
        List<FleetEffect> reads = new CopyOnWriteArrayList<>();

        start(effect -> {
            if (effect instanceof FleetEffect.ReadFeed read) {
                reads.add(read);
                throw new IllegalStateException("no connection can be made");
            }
        });

        assertThat(reads).hasSizeGreaterThan(3);
    }

    @Test
    void errorInAnEffectDoesNotStopTheTicks() throws Exception {
        start(effect -> {
            throw new StackOverflowError("deep");
        });

        assertThat(ticks()).isGreaterThan(2);
        assertThat(failures).contains("deep");
    }

    @Test
    void messageWithMissingFieldsLeavesTheStateUnchanged() throws Exception {
        FleetLoop loop = start(effect -> {});
        FleetState before = group.next().submit(loop::state).get();

        loop.submit(new FleetEvent.PeerReceived(
                loop.nowMillis(),
                new FleetMessage.Digest(
                        "b", null, 0, true, false, Optional.empty(), List.of(), List.of(), Optional.empty())));
        Thread.sleep(SEVERAL_TICKS_MILLIS);

        assertThat(group.next().submit(loop::state).get().peers()).isEqualTo(before.peers());
        assertThat(failures).isNotEmpty();
        assertThat(ticks()).isGreaterThan(2);
    }

    @Test
    void loopThatWasBlockedOnceDoesNotStayLagging() throws Exception {
        FleetLoop loop = start(effect -> {});
        group.next()
                .submit(() -> {
                    Thread.sleep(600);
                    return null;
                })
                .get();
        Thread.sleep(3 * SEVERAL_TICKS_MILLIS);

        assertThat(group.next().submit(loop::isLagging).get()).isFalse();
    }
}
