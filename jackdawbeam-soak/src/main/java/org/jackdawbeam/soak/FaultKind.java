package org.jackdawbeam.soak;

/** Kinds of faults and of planned changes in a soak run. */
public enum FaultKind {
    /** SIGKILL to an entry, which is restarted at the end. */
    KILL_ENTRY(Location.PROCESS, 10),
    /** SIGKILL to all entries at once, which are restarted at the end. */
    KILL_ALL_ENTRIES(Location.PROCESS, 2),
    /** SIGTERM to an entry under load, which is restarted after it has exited. */
    STOP_ENTRY(Location.PROCESS, 10),
    /** SIGSTOP to an entry, and SIGCONT at the end. */
    PAUSE_ENTRY(Location.PROCESS, 10),
    /** SIGHUP to an entry, with a valid or an invalid settings file. */
    RELOAD_ENTRY(Location.PROCESS, 4),
    /** The connections of one entry to the store carry no bytes and stay open. */
    SILENCE_STORE_OF_ENTRY(Location.STORE_LINK, 8),
    /** Open and new connections of one entry to the store are reset. */
    REFUSE_STORE_OF_ENTRY(Location.STORE_LINK, 4),
    /** The store responds to all calls with 503. */
    REFUSE_STORE(Location.STORE, 5),
    /** The store does not respond. */
    SILENCE_STORE(Location.STORE, 5),
    /** The store performs appends and does not respond to them. */
    LOSE_STORE_ANSWERS(Location.STORE, 5),
    /** All calls to the store are delayed. */
    DELAY_STORE(Location.STORE, 4),
    /** The store deletes the history of its topics. */
    FORGET_HISTORY(Location.STORE, 4),
    /** Connections from other entries to one entry carry no bytes in either direction. */
    SILENCE_PEERS(Location.PEER_LINK, 6),
    /** Responses of an entry to its peers are held back; their requests arrive. */
    CUT_PEERS_ONE_WAY(Location.PEER_LINK, 4),
    /** The connections of peers to one entry are reset. */
    RESET_PEERS(Location.PEER_LINK, 4),
    /** Messages between one entry and the peers that connect to it are delayed. */
    DELAY_PEERS(Location.PEER_LINK, 4),
    /** All connections to a target carry no bytes and stay open. */
    SILENCE_TARGET(Location.TARGET, 6),
    /** Responses of a target are held back; requests arrive. */
    CUT_TARGET_ONE_WAY(Location.TARGET, 5),
    /** All connections to a target are reset. */
    RESET_TARGET(Location.TARGET, 8),
    /** Bytes from and to a target are delayed. */
    DELAY_TARGET(Location.TARGET, 5),
    /** A target crashes, and restarts under another name at the end. */
    CRASH_TARGET(Location.TARGET, 8),
    /** A target announces that it is leaving, and is replaced at the end. */
    DRAIN_TARGET(Location.TARGET, 8),
    /** A target answers some requests a second time; see {@link SecondAnswers}. Drawn apart from the other kinds. */
    SECOND_ANSWERS(Location.TARGET, 0),
    /** A new configuration replaces the rotated key by a new one. */
    CHANGE_CONFIGURATION(Location.CONFIGURATION, 12);

    /** Component or link that a fault affects. */
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

    /** Returns the relative frequency of the kind; zero if the plan draws it apart. */
    int weight() {
        return weight;
    }
}
