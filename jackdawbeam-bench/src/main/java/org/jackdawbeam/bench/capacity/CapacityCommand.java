package org.jackdawbeam.bench.capacity;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import org.jackdawbeam.bench.decision.Site;
import org.jackdawbeam.bench.harness.EventQueue;
import org.jackdawbeam.bench.harness.Fleet;
import org.jackdawbeam.bench.harness.FleetObserver;
import org.jackdawbeam.bench.harness.Network;
import org.jackdawbeam.bench.harness.Node;
import org.jackdawbeam.logic.entry.EntryOptions;
import org.jackdawbeam.model.bundle.Bundle;
import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.peer.PeerMessage;
import org.jackdawbeam.model.request.Call.CompletionCall;
import org.jackdawbeam.net.codec.MessageMapper;
import picocli.CommandLine.Command;

/** Measures how memory, processor time and message sizes of an entry scale with the size of the deployment. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description = "Measures state size, processor time per event and message size for several deployment sizes.")
public final class CapacityCommand implements Callable<Integer> {
    private static final double WARM_UP_MILLIS = 60_000;
    private static final double MEASURED_MILLIS = 20_000;
    private static final double NANOS_PER_MICRO = 1_000;
    private static final double REQUESTS_PER_SECOND = 100;

    private record Size(int members, int engines, int models, int adapters) {}

    @Override
    public Integer call() {
        printMessageSizes();
        StateSizes.print();
        for (Size size : List.of(
                new Size(4, 13, 20, 110),
                new Size(8, 13, 20, 110),
                new Size(15, 13, 20, 110),
                new Size(8, 50, 20, 110),
                new Size(8, 200, 20, 110),
                new Size(8, 50, 80, 400),
                new Size(8, 50, 160, 800))) {
            printEventTimes(size);
        }
        return 0;
    }

    private static void printMessageSizes() {
        MessageMapper mapper = MessageMapper.messagePack();
        for (int[] size : new int[][] {{5, 0}, {5, 20}, {5, 100}, {5, 700}, {50, 20}, {100, 20}}) {
            Map<String, Double> balances = new HashMap<>();
            for (int number = 0; number < size[0]; number++) {
                balances.put(Site.workspace(number), 1234.5 + number);
            }
            Map<String, Double> demand = new HashMap<>();
            for (int number = 0; number < size[1]; number++) {
                demand.put(Site.model(number), 321.5 + number);
            }
            Member member = new Member("entry-1", 1_700_000_000_000L, "a", "http://10.0.0.1:80", "10.0.0.1:81");
            PeerMessage.Report report = new PeerMessage.Report(9, 9, false, 100, balances, demand, List.of());
            int bytes = mapper.write(new PeerMessage.HeartbeatQuestion(member, 123_456, report)).length;
            System.out.println("measure=heartbeat_bytes workspaces=" + size[0] + " models_in_demand=" + size[1]
                    + " bytes=" + bytes);
        }
    }

    private static void printEventTimes(Size size) {
        EventQueue queue = new EventQueue();
        EntryOptions options = EntryOptions.defaults();
        Fleet fleet = new Fleet(queue, Network.reliable(1), options, new FleetObserver() {});
        Site site = new Site(
                "capacity",
                size.members(),
                size.engines(),
                size.models(),
                size.adapters(),
                1_000,
                1,
                List.of(0.4, 0.3, 0.15, 0.1, 0.05));
        Bundle bundle = site.bundle(10_000_000);
        fleet.addTargets(bundle, 10);
        for (int number = 0; number < size.members(); number++) {
            fleet.addNode("entry-" + number, Site.zone(number));
        }
        queue.after(500, () -> fleet.submitOperatorRequest(fleet.nodes().getFirst(), fleet.roll(bundle, 0, "first")));
        Random random = new Random(1);
        long[] nextRequest = {1};
        queue.every(1_000 / (REQUESTS_PER_SECOND * size.members()), () -> {
            Node node = fleet.nodes().get(random.nextInt(size.members()));
            CompletionCall call =
                    new CompletionCall(Site.model(random.nextInt(size.models())), 200, List.of(1L, 2L, 3L), 20, true);
            fleet.request(node, nextRequest[0]++, Fleet.requestTemplate(site.credential(random.nextInt(5)), call), 20);
        });
        queue.runUntil(WARM_UP_MILLIS);
        fleet.nodes().forEach(Node::resetTimes);
        queue.runUntil(WARM_UP_MILLIS + MEASURED_MILLIS);
        fleet.nodes().stream()
                .max((left, right) -> Long.compare(left.busyNanos(), right.busyNanos()))
                .ifPresent(node -> print(size, node));
    }

    private static void print(Size size, Node busiest) {
        double seconds = MEASURED_MILLIS / 1_000;
        String head = "members=" + size.members() + " engines=" + size.engines() + " models=" + size.models()
                + " adapters=" + size.adapters();
        double requestNanos = 0;
        double controlNanos = 0;
        for (Map.Entry<String, Node.Times> times : busiest.times().entrySet()) {
            boolean request =
                    times.getKey().startsWith("Attempt") || times.getKey().startsWith("Request");
            requestNanos += request ? times.getValue().nanos() : 0;
            controlNanos += request ? 0 : times.getValue().nanos();
            System.out.println(String.format(
                    Locale.ROOT,
                    "measure=event_micros %s event=%s count_per_second=%.1f mean_micros=%.1f",
                    head,
                    times.getKey(),
                    times.getValue().count() / seconds,
                    times.getValue().nanos()
                            / NANOS_PER_MICRO
                            / times.getValue().count()));
        }
        System.out.println(String.format(
                Locale.ROOT,
                "measure=core_percent %s requests_per_second=%.0f requests=%.2f control=%.2f",
                head,
                REQUESTS_PER_SECOND,
                requestNanos / 1e7 / seconds,
                controlNanos / 1e7 / seconds));
    }
}
