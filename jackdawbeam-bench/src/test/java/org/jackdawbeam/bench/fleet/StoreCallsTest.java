package org.jackdawbeam.bench.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.jackdawbeam.bench.harness.EventQueue;
import org.jackdawbeam.logic.fleet.FleetEffect;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;
import org.jackdawbeam.model.request.AttemptId;
import org.junit.jupiter.api.Test;

/** Eighty entries in four zones with sixty engines that renew their registrations; nobody calls. */
class StoreCallsTest {
    private static final int ENTRIES = 80;
    private static final int ZONES = 4;
    private static final int ENGINES = 60;
    private static final double RENEWAL_MILLIS = 1_200;
    private static final double START_MILLIS = 10_000;
    private static final double CALM_SECONDS = 20;
    /** The stated target: calls grow with the zones, each of which has one hub, and not with the hosts. */
    private static final int CALLS_PER_SECOND_AND_ZONE = 5;

    private static final int LEADERSHIP_CALLS_PER_SECOND = 3;
    private static final double CONFIGURATION_APPLY_MILLIS = 2_000;
    private static final long LONGEST_CONFIGURATION_AGE = 4_400; // 5 s to a withdrawal, less the way to a target

    private final EventQueue queue = new EventQueue();
    private final FleetSimulation fleet =
            new FleetSimulation(queue, new Random(1), new NoTargets(), (request, refusal) -> {});

    StoreCallsTest() {
        configure(1);
        for (int number = 0; number < ENTRIES; number++) {
            fleet.add("entry-" + number, "zone-" + number % ZONES, FleetSearchSite.bounds(true));
        }
        for (int number = 0; number < ENGINES; number++) {
            String id = "engine-" + number;
            queue.after(
                    number * RENEWAL_MILLIS / ENGINES,
                    () -> queue.every(
                            RENEWAL_MILLIS,
                            () -> fleet.store()
                                    .write(
                                            Feed.TARGETS,
                                            new FeedEntry.Target(
                                                    FleetSearchSite.engine(id, FleetSearchSite.ZONE, Set.of("m1"))))));
        }
        queue.runUntil(START_MILLIS);
    }

    private void configure(long version) {
        fleet.store()
                .write(
                        Feed.CONFIGURATION,
                        new FeedEntry.Configuration(FleetSearchSite.configuration(version, "changing")));
    }

    private List<SimulatedMember> hubs() {
        return fleet.members().stream()
                .filter(member -> !member.state().hub().group().isEmpty())
                .toList();
    }

    private long configurationAge(SimulatedMember member) {
        return Math.round(queue.nowMillis())
                - member.state().feeds().get(Feed.CONFIGURATION).freshAtMillis().orElse(0);
    }

    @Test
    void storeCallsOfACalmFleetGrowWithItsZonesOnly() {
        long before = fleet.storeCalls();

        queue.runUntil(START_MILLIS + CALM_SECONDS * 1_000);

        assertThat((fleet.storeCalls() - before) / CALM_SECONDS)
                .isLessThanOrEqualTo(ZONES * CALLS_PER_SECOND_AND_ZONE + LEADERSHIP_CALLS_PER_SECOND);
    }

    @Test
    void changedConfigurationIsInForceEverywhereInTime() {
        for (int version = 2; version < 12; version++) {
            configure(version);
            queue.runUntil(queue.nowMillis() + CONFIGURATION_APPLY_MILLIS);

            long expected = version;
            assertThat(fleet.members())
                    .allMatch(member ->
                            member.state().configuration().orElseThrow().version() == expected);
        }
    }

    @Test
    void entriesReadForThemselvesWhileNoHubReachesTheStore() {
        hubs().forEach(hub -> hub.setCutFromStore(true));
        List<Long> ages = new ArrayList<>();

        for (int step = 0; step < 100; step++) {
            queue.runUntil(queue.nowMillis() + 100);
            fleet.members().stream()
                    .filter(member -> !member.isCutFromStore())
                    .forEach(member -> ages.add(configurationAge(member)));
        }

        assertThat(ages).allMatch(age -> age < LONGEST_CONFIGURATION_AGE);
    }

    @Test
    void entriesDoNotTakeTheirConfigurationForFreshWhileTheStoreIsAway() {
        fleet.setStoreDown(true);

        queue.runUntil(queue.nowMillis() + 2 * LONGEST_CONFIGURATION_AGE);

        assertThat(fleet.members()).allMatch(member -> configurationAge(member) > LONGEST_CONFIGURATION_AGE);
    }

    /** Nobody calls, and models stay where they are. */
    private static final class NoTargets implements TargetBackend {
        @Override
        public void start(FleetSimulation fleet, SimulatedMember member, FleetEffect.StartAttempt attempt) {
            throw new IllegalStateException("nobody calls");
        }

        @Override
        public void order(FleetSimulation fleet, SimulatedMember member, EngineOrder order) {
            // The engine does not answer.
        }

        @Override
        public void report(FleetSimulation fleet, SimulatedMember member, String target) {
            // The engine does not answer.
        }

        @Override
        public void cancel(AttemptId attempt) {
            throw new IllegalStateException("nobody calls");
        }
    }
}
