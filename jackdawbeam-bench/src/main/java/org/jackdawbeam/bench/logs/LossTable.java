package org.jackdawbeam.bench.logs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Aggregates, from the logs of all entries, the causes of request waits and refusals. */
final class LossTable {
    private static final String WAITING = "request_waiting";
    private static final String SENT = "attempt_started";
    private static final String REFUSED = "request_refused";
    private static final String LEFT = "caller_left";

    private final Map<String, LogLine> waiting = new HashMap<>();
    private final Map<String, List<Wait>> waits = new TreeMap<>();
    private final Map<String, Integer> refusals = new TreeMap<>();

    private record Wait(double seconds, String end) {}

    void add(LogLine line) {
        String request = line.host() + " " + line.field("request");
        switch (line.event()) {
            case WAITING -> waiting.putIfAbsent(request, line);
            case SENT, LEFT -> endWait(request, line);
            case REFUSED -> {
                endWait(request, line);
                String reason = line.field("reason").replaceAll("\\d+", "N");
                refusals.merge(line.field("code") + ", " + reason, 1, Integer::sum);
            }
            default -> {
                // Other events do not concern a single request.
            }
        }
    }

    private void endWait(String request, LogLine end) {
        LogLine started = waiting.remove(request);
        if (started == null) {
            return;
        }
        String cause = started.field("model") + ", " + started.field("reason").replaceAll("\\d+", "N");
        waits.computeIfAbsent(cause, key -> new ArrayList<>())
                .add(new Wait(end.seconds() - started.seconds(), end.event()));
    }

    /** Returns the lines of the table, most frequent causes first. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add("waits: count, median s, nine tenths s, sent, refused, left, cause");
        waits.entrySet().stream()
                .sorted(Comparator.comparingInt(entry -> -entry.getValue().size()))
                .forEach(entry -> lines.add(line(entry.getKey(), entry.getValue())));
        lines.add("still waiting at the end: " + waiting.size());
        lines.add("refusals: count, cause");
        refusals.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
                .forEach(entry -> lines.add(entry.getValue() + "  " + entry.getKey()));
        return List.copyOf(lines);
    }

    private static String line(String cause, List<Wait> ended) {
        List<Double> seconds = ended.stream().map(Wait::seconds).sorted().toList();
        return String.format(
                Locale.ROOT,
                "%d  %.2f  %.2f  %d  %d  %d  %s",
                ended.size(),
                seconds.get(seconds.size() / 2),
                seconds.get(seconds.size() * 9 / 10),
                count(ended, SENT),
                count(ended, REFUSED),
                count(ended, LEFT),
                cause);
    }

    private static long count(List<Wait> ended, String event) {
        return ended.stream().filter(wait -> wait.end().equals(event)).count();
    }
}
