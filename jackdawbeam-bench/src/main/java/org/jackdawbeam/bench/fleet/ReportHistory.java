package org.jackdawbeam.bench.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jackdawbeam.model.fleet.TargetReport;

/** History of the reports of a simulated engine, used to report its state with a delay. */
public final class ReportHistory {
    private final double ageMillis;
    private final Deque<TimedReport> reports = new ArrayDeque<>();

    private record TimedReport(double atMillis, TargetReport report) {}

    /**
     * Creates an empty history.
     *
     * @param ageMillis age of the reported state
     */
    public ReportHistory(double ageMillis) {
        this.ageMillis = ageMillis;
    }

    /** Adds the current state. */
    public void add(double nowMillis, TargetReport report) {
        reports.addLast(new TimedReport(nowMillis, report));
    }

    /** Returns the state to report now and discards older ones; the history must not be empty. */
    public TargetReport current(double nowMillis) {
        while (reports.size() > 1 && reports.getFirst().atMillis < nowMillis - ageMillis) {
            reports.removeFirst();
        }
        return reports.getFirst().report;
    }

    /** Removes all states. */
    public void clear() {
        reports.clear();
    }
}
