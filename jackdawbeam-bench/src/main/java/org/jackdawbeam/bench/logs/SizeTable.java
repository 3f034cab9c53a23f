package org.jackdawbeam.bench.logs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.jackdawbeam.bench.harness.RequestSize;

/** Compares, from the logs of all entries, the outcomes of requests of different sizes on each route. */
final class SizeTable {
    private static final int MIN_REQUESTS = 20; // the largest 10% of fewer requests would be a single one
    private static final String COMPLETED = "completed";
    private static final String UNFINISHED = "unfinished";

    private final Map<String, Request> requests = new HashMap<>();
    private final Map<String, Request> byNumber = new HashMap<>();

    private static final class Request {
        private final String route;
        private final long size;
        private String end = UNFINISHED;

        Request(String route, long size) {
            this.route = route;
            this.size = size;
        }
    }

    void add(LogLine line) {
        String number = line.host() + " " + line.field("request_number");
        if (line.event().equals("attempt_completed") && byNumber.containsKey(number)) {
            byNumber.get(number).end = COMPLETED;
            return;
        }
        if (!line.fields().containsKey("input_tokens")) {
            end(line);
            return;
        }
        long size = RequestSize.of(number(line, "input_tokens"), number(line, "output_tokens"));
        Request request = requests.computeIfAbsent(
                line.host() + " " + line.field("request"), key -> new Request(line.field("route"), size));
        byNumber.put(number, request);
        end(line);
    }

    private void end(LogLine line) {
        Request request = requests.get(line.host() + " " + line.field("request"));
        if (request == null) {
            return;
        }
        request.end = switch (line.event()) {
            case "request_refused" -> line.field("code");
            case "caller_left", "answer_broken" -> line.event();
            default -> request.end;
        };
    }

    private static long number(LogLine line, String field) {
        return Long.parseLong(line.field(field));
    }

    /** Returns the outcomes by route for the largest 10% of the requests, the next 20% and the rest. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add("sizes: route, requests, sizes, completed, other ends");
        Map<String, List<Request>> byRoute = requests.values().stream()
                .filter(request -> request.size > 0)
                .collect(Collectors.groupingBy(request -> request.route, TreeMap::new, Collectors.toList()));
        byRoute.forEach((route, all) -> {
            if (all.size() < MIN_REQUESTS) {
                return;
            }
            List<Request> sorted = all.stream()
                    .sorted(Comparator.comparingLong((Request request) -> request.size)
                            .reversed())
                    .toList();
            int tenth = sorted.size() / 10;
            lines.add(line(route, "largest tenth", sorted.subList(0, tenth)));
            lines.add(line(route, "fifth below", sorted.subList(tenth, 3 * tenth)));
            lines.add(line(route, "rest", sorted.subList(3 * tenth, sorted.size())));
        });
        return List.copyOf(lines);
    }

    private static String line(String route, String part, List<Request> sorted) {
        Map<String, Long> ends = sorted.stream()
                .collect(Collectors.groupingBy(request -> request.end, TreeMap::new, Collectors.counting()));
        long completed = ends.getOrDefault(COMPLETED, 0L);
        ends.remove(COMPLETED);
        return String.format(
                Locale.ROOT,
                "%s, %s  %d  %d-%d  %.2f  %s",
                route,
                part,
                sorted.size(),
                sorted.getLast().size,
                sorted.getFirst().size,
                (double) completed / sorted.size(),
                ends);
    }
}
