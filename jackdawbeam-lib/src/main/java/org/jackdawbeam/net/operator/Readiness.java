package org.jackdawbeam.net.operator;

import java.util.ArrayList;
import java.util.List;
import org.jackdawbeam.logic.entry.EntryState;
import org.jackdawbeam.model.settings.EntryTimings;

/** Determines whether an entry can serve callers. */
public final class Readiness {

    private Readiness() {}

    /** Returns the reasons why the entry is not ready; an empty list means that it is. */
    public static List<String> obstacles(EntryState state, long nowMillis, EntryTimings timings) {
        List<String> obstacles = new ArrayList<>();
        if (state.log().folded().bundle().isEmpty()) {
            obstacles.add("no_bundle");
        }
        if (!state.membership().isMember()) {
            obstacles.add("not_a_member");
        } else if (!state.membership().holdsLease(nowMillis, timings)) {
            obstacles.add("no_lease");
        }
        if (!state.isServing()) {
            obstacles.add("stopping");
        }
        return List.copyOf(obstacles);
    }
}
