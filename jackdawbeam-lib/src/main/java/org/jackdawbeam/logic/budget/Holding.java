package org.jackdawbeam.logic.budget;

/** What a connection holds, as far as it decides which one is closed. */
public interface Holding {
    /** What a connection waits for, from what is missed least if it is closed. */
    enum Phase {
        /** For the next request. */
        IDLE,
        /** For the rest of a request. */
        RECEIVING,
        /** For a client that does not read its answer. */
        STALLED,
        /** For the answer to a complete request. */
        ANSWERING
    }

    /** Returns the bytes that are held. */
    long heldBytes();

    /** Returns the current phase. */
    Phase phase();

    /** Returns a number that is larger the later the phase began. */
    long phaseNumber();
}
