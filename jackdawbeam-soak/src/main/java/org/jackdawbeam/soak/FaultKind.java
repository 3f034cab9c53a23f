package org.jackdawbeam.soak;

/** What goes wrong, or is changed on purpose, in a soak. */
public enum FaultKind {
    /** SIGKILL to an entry; it starts again at the end. */
    KILL_ENTRY(Location.PROCESS, 10),
    /** SIGKILL to all entries at once; they start again at the end. */
    KILL_ALL_ENTRIES(Location.PROCESS, 2),
    /** SIGTERM to an entry while it is used; it starts again after it has exited. */
    STOP_ENTRY(Location.PROCESS, 10),
    /** SIGSTOP to an entry, SIGCONT at the end. */
    PAUSE_ENTRY(Location.PROCESS, 10),
    /** SIGHUP to an entry, with a settings file that is valid or not. */
    RELOAD_ENTRY(Location.PROCESS, 4),
    /** The connections of one entry to the store fall silent. */
    SILENCE_STORE_OF_ENTRY(Location.STORE_LINK, 8),
    /** The connections of one entry to the store are reset, and new ones are closed. */
    REFUSE_STORE_OF_ENTRY(Location.STORE_LINK, 4),
    /** The store answers all calls with 503. */
    REFUSE_STORE(Location.STORE, 5),
    /** The store answers nothing. */
    SILENCE_STORE(Location.STORE, 5),
    /** The store carries out appends and does not answer them. */
    LOSE_STORE_ANSWERS(Location.STORE, 5),
    /** All calls to the store take longer. */
    DELAY_STORE(Location.STORE, 4),
    /** The store deletes the history of its topics. */
    FORGET_HISTORY(Location.STORE, 4),
    /** Messages from other entries to one entry stay on the way, in both directions. */
    SILENCE_PEERS(Location.PEER_LINK, 6),
    /** What an entry answers to its peers stays on the way; what they send arrives. */
    CUT_PEERS_ONE_WAY(Location.PEER_LINK, 4),
    /** The connections of peers to one entry are reset. */
    RESET_PEERS(Location.PEER_LINK, 4),
    /** Messages to one entry arrive late. */
    DELAY_PEERS(Location.PEER_LINK, 4),
    /** All connections to a target fall silent. */
    SILENCE_TARGET(Location.TARGET, 6),
    /** The answers of a target stay on the way; requests arrive. */
    CUT_TARGET_ONE_WAY(Location.TARGET, 5),
    /** All connections to a target are reset. */
    RESET_TARGET(Location.TARGET, 8),
    /** Bytes from and to a target arrive late. */
    DELAY_TARGET(Location.TARGET, 5),
    /** A target ends without a word and starts again under another name at the end. */
    CRASH_TARGET(Location.TARGET, 8),
    /** A target says that it leaves, and is replaced at the end. */
    DRAIN_TARGET(Location.TARGET, 8),
    /** A configuration with a new key replaces one with an older key. */
    CHANGE_CONFIGURATION(Location.CONFIGURATION, 12);

    /** What a fault concerns. */
    enum Location {
        PROCESS,
        STORE_LINK,
        STORE,
        PEER_LINK,
        TARGET,
        CONFIGURATION
    }

    private final Location location;
    private final int weight;

    FaultKind(Location location, int weight) {
        this.location = location;
        this.weight = weight;
    }

    Location location() {
        return location;
    }

    /** Returns how often the kind is drawn in proportion to the others. */
    int weight() {
        return weight;
    }
}
