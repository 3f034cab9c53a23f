package org.jackdawbeam.logic.evacuation;

import java.util.OptionalLong;

/**
 * An evacuation of an availability zone.
 *
 * @param inForceAtMillis time from which no target of the zone gets a request
 * @param endsAtMillis time at which it ends unless a read of the store lists it again; empty while it is listed
 */
public record Evacuation(long inForceAtMillis, OptionalLong endsAtMillis) {
    private static final long MARGIN_MILLIS = 600; // for the transmission of a request to a target

    /**
     * Returns the latest time at which a request may be sent to a target of a zone whose evacuation was requested after
     * the last time at which the known ones were complete.
     */
    static long latestSendMillis(long completeAtMillis, long limitMillis) {
        return completeAtMillis + limitMillis - MARGIN_MILLIS;
    }

    Evacuation unlisted(long endsAt) {
        return endsAtMillis.isPresent() ? this : new Evacuation(inForceAtMillis, OptionalLong.of(endsAt));
    }

    Evacuation listed() {
        return new Evacuation(inForceAtMillis, OptionalLong.empty());
    }
}
