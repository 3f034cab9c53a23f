package org.jackdawbeam.logic.evacuation;

import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** The evacuated availability zones, as known to an entry. */
public record Evacuations(PMap<String, Evacuation> byZone) {

    /** Returns no evacuations. */
    public static Evacuations none() {
        return new Evacuations(HashTreePMap.empty());
    }

    /** Returns whether no zone is evacuated. */
    public boolean isEmpty() {
        return byZone.isEmpty();
    }

    /** Returns whether the zone is evacuated, so that nothing may be placed there. */
    public boolean contains(String zone) {
        return byZone.containsKey(zone);
    }

    /**
     * Returns whether a target of the zone may get a request now. Until the evacuation is in force, only requests that
     * no target of another zone can serve may go there.
     *
     * @param servedElsewhere whether a target of a zone that is not evacuated can serve the request
     */
    public boolean admits(String zone, boolean servedElsewhere, long nowMillis) {
        Evacuation known = byZone.get(zone);
        return known == null || !servedElsewhere && nowMillis < known.inForceAtMillis();
    }

    /**
     * Returns the time until which an attempt at a target of the zone may be sent. An evacuation that this entry has
     * not heard of was requested after the known ones were last complete. Without word from the store for longer than
     * the limit, an unknown evacuation cannot be ruled out at any time, and does not prevent sending.
     *
     * @param completeAtMillis time as of which the known evacuations were complete, if ever
     * @param limitMillis time within which a zone must be evacuated, if the deployment states one
     */
    public long sendUntilMillis(String zone, OptionalLong completeAtMillis, OptionalLong limitMillis, long nowMillis) {
        Evacuation known = byZone.get(zone);
        if (known != null) {
            return known.inForceAtMillis();
        }
        if (completeAtMillis.isEmpty() || limitMillis.isEmpty()) {
            return Long.MAX_VALUE;
        }
        long until = Evacuation.latestSendMillis(completeAtMillis.getAsLong(), limitMillis.getAsLong());
        return until > nowMillis ? until : Long.MAX_VALUE;
    }

    /**
     * Returns the evacuations after the store has listed one. It is in force at once if the time of the request cannot
     * be bounded: when this entry has just started, or if the deployment states no limit.
     *
     * @param completeAtMillis time as of which the evacuations known before were complete, if ever
     * @param limitMillis time within which a zone must be evacuated, if the deployment states one
     */
    public Evacuations withListed(
            String zone, OptionalLong completeAtMillis, OptionalLong limitMillis, long nowMillis) {
        Evacuation known = byZone.get(zone);
        if (known != null) {
            return known.endsAtMillis().isEmpty() ? this : new Evacuations(byZone.plus(zone, known.listed()));
        }
        long inForceAt = completeAtMillis.isPresent() && limitMillis.isPresent()
                ? Evacuation.latestSendMillis(completeAtMillis.getAsLong(), limitMillis.getAsLong())
                : nowMillis;
        return new Evacuations(byZone.plus(zone, new Evacuation(Math.max(nowMillis, inForceAt), OptionalLong.empty())));
    }

    /** Returns the evacuations without that of the zone. */
    public Evacuations without(String zone) {
        return new Evacuations(byZone.minus(zone));
    }

    /** Returns the evacuations after a complete read of the store, where those that it does not list end later. */
    public Evacuations withUnlistedEnding(Set<String> listed, long endsAtMillis) {
        PMap<String, Evacuation> changed = byZone;
        for (Map.Entry<String, Evacuation> entry : byZone.entrySet()) {
            changed = listed.contains(entry.getKey())
                    ? changed
                    : changed.plus(entry.getKey(), entry.getValue().unlisted(endsAtMillis));
        }
        return new Evacuations(changed);
    }

    /** Returns the zones whose evacuation has ended because the store no longer lists it, in the order of names. */
    public Set<String> overdue(long nowMillis) {
        Set<String> zones = new TreeSet<>();
        byZone.forEach((zone, evacuation) -> {
            if (evacuation.endsAtMillis().isPresent()
                    && nowMillis >= evacuation.endsAtMillis().getAsLong()) {
                zones.add(zone);
            }
        });
        return zones;
    }
}
