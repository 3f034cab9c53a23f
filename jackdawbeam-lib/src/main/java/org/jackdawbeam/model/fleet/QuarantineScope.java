package org.jackdawbeam.model.fleet;

/** What a quarantine withholds from engines. */
public enum QuarantineScope {
    /** Every request whose prompt has all parts of a group. */
    PROMPT_PARTS,
    /** Repetitions of one request, known by its fingerprint. */
    REQUESTS
}
