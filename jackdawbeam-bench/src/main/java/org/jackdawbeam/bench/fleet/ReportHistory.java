package org.jackdawbeam.bench.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jackdawbeam.model.fleet.TargetReport;

/** States of a simulated engine, of which it reports one that is some hundred milliseconds old. */
public final class ReportHistory {
    private final double ageMillis;
    private final Deque<TimedReport> reports = new ArrayDeque<>();

    private record TimedReport(double atMillis, TargetReport report) {}

    /**
     * Creates an empty history.
     *
     * @param ageMillis how old reports are
     */
    public ReportHistory(double ageMillis) {
        this.ageMillis = ageMillis;
    }

    /** Adds the state as of now. */
    public void add(double nowMillis, TargetReport report) {
        reports.addLast(new TimedReport(nowMillis, report));
    }

    /** Returns the state to report now, and forgets those before it; there must be one. */
    public TargetReport current(double nowMillis) {
        while (reports.size() > 1 && reports.getFirst().atMillis < nowMillis - ageMillis) {
            reports.removeFirst();
        }
        return reports.getFirst().report;
    }

    /** Forgets all states. */
    public void clear() {
        reports.clear();
    }
}
