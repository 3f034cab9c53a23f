package org.jackdawbeam.logic.store;

import java.util.Locale;
import java.util.Optional;
import org.jackdawbeam.logic.fleet.FleetEffect;

/**
 * A call to the platform's store, with what an operator needs to tell apart to find out who makes many.
 *
 * @param topic what is read or written
 * @param reason why
 */
public record StoreCall(String topic, Reason reason) {

    /** Why a call is made. */
    public enum Reason {
        /** Reads the newest record of each key, after a start or a loss of history. */
        NEWEST,
        /** Waits for the next records, as hubs and readers do all the time. */
        LONG_POLL,
        /** Reads at once, because the reads of other entries are not known to suffice, or the latest read failed. */
        DIRECT,
        /** Writes a record. */
        APPEND
    }

    /** Returns the call that the effect causes; empty if it causes none. */
    public static Optional<StoreCall> of(FleetEffect effect) {
        return switch (effect) {
            case FleetEffect.ReadFeed read ->
                Optional.of(new StoreCall(read.feed().name().toLowerCase(Locale.ROOT), reason(read)));
            case FleetEffect.Announce announce -> append("members");
            case FleetEffect.Withdraw withdraw -> append("members");
            case FleetEffect.StoreQuarantine stored -> append("quarantine");
            case FleetEffect.AppendLeadership appended -> append("leadership");
            case FleetEffect.ReadLeadership read -> Optional.of(new StoreCall("leadership", Reason.DIRECT));
            default -> Optional.empty();
        };
    }

    private static Reason reason(FleetEffect.ReadFeed read) {
        if (read.fromOffset().isEmpty()) {
            return Reason.NEWEST;
        }
        return read.waitMillis() > 0 ? Reason.LONG_POLL : Reason.DIRECT;
    }

    private static Optional<StoreCall> append(String topic) {
        return Optional.of(new StoreCall(topic, Reason.APPEND));
    }
}
