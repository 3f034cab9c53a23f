package org.jackdawbeam.bench.decision;

/** Workload and faults of a run of the decision benchmark. Faults start after a third of the measured time. */
public enum Scenario {
    /** Usual load without faults. */
    CALM,
    /** The demand for rarely used models grows tenfold during the run. */
    TENFOLD,
    /** A third of the engines fails during peak demand. */
    HOT_AFTERNOON,
    /** One engine crashes and restarts empty. */
    ENGINE_DEAD,
    /** One engine slows down by a factor of four. */
    ENGINE_SLOW,
    /** One engine accepts requests without answering them and reports low load. */
    ENGINE_SILENT,
    /** All entries and engines of one availability zone fail. */
    ZONE_LOST,
    /** The log is unavailable for the rest of the run. */
    LOG_OUT,
    /** One workspace sends five times its rate. */
    NOISY_WORKSPACE,
    /** One entry is killed. */
    ENTRY_KILLED
}
