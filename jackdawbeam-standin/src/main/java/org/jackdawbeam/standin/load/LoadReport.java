package org.jackdawbeam.standin.load;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Collects and prints the measurements of a load run. Thread-safe. */
final class LoadReport {
    private static final long HIGHEST_NANOS = 120_000_000_000L;
    private static final int DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Histogram firstBytes = new ConcurrentHistogram(HIGHEST_NANOS, DIGITS);
    private final Histogram gaps = new ConcurrentHistogram(HIGHEST_NANOS, DIGITS);
    private final Histogram totals = new ConcurrentHistogram(HIGHEST_NANOS, DIGITS);
    private final Map<Integer, LongAdder> statuses = new ConcurrentSkipListMap<>();
    private final LongAdder events = new LongAdder();
    private final LongAdder failures = new LongAdder();

    void recordFirstByte(long nanos) {
        firstBytes.recordValue(Math.min(nanos, HIGHEST_NANOS));
    }

    void recordGap(long nanos) {
        gaps.recordValue(Math.min(nanos, HIGHEST_NANOS));
    }

    void recordEnd(int status, long nanos, long eventCount) {
        totals.recordValue(Math.min(nanos, HIGHEST_NANOS));
        statuses.computeIfAbsent(status, code -> new LongAdder()).increment();
        events.add(eventCount);
    }

    void recordFailure() {
        failures.increment();
    }

    void print(String name, long elapsedNanos) {
        double seconds = elapsedNanos / NANOS_PER_SECOND;
        Map<Integer, Long> byStatus = new TreeMap<>();
        statuses.forEach((status, count) -> byStatus.put(status, count.sum()));
        System.out.println(String.format(
                Locale.ROOT,
                "load=%s seconds=%.1f answers=%d failures=%d statuses=%s answers_per_second=%.0f"
                        + " events_per_second=%.0f",
                name,
                seconds,
                totals.getTotalCount(),
                failures.sum(),
                byStatus,
                totals.getTotalCount() / seconds,
                events.sum() / seconds));
        printHistogram(name, "first_byte_ms", firstBytes);
        printHistogram(name, "between_events_ms", gaps);
        printHistogram(name, "whole_answer_ms", totals);
    }

    private static void printHistogram(String name, String measure, Histogram histogram) {
        if (histogram.getTotalCount() == 0) {
            return;
        }
        System.out.println(String.format(
                Locale.ROOT,
                "load=%s measure=%s p50=%.3f p90=%.3f p95=%.3f p99=%.3f max=%.3f",
                name,
                measure,
                histogram.getValueAtPercentile(50) / NANOS_PER_MILLI,
                histogram.getValueAtPercentile(90) / NANOS_PER_MILLI,
                histogram.getValueAtPercentile(95) / NANOS_PER_MILLI,
                histogram.getValueAtPercentile(99) / NANOS_PER_MILLI,
                histogram.getMaxValue() / NANOS_PER_MILLI));
    }
}
