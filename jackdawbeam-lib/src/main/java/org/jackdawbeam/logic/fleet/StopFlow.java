package org.jackdawbeam.logic.fleet;

import java.util.List;

/** Ends the process as planned: out of the directory first, then out of the fleet, and only then out of service. */
final class StopFlow {
    private static final long LEAVING_MILLIS = 3_000; // callers have asked the directory again by then
    private static final long END_MARGIN_MILLIS = 400; // time to close connections before the process is killed

    private final PeerFlow peers;

    StopFlow(PeerFlow peers) {
        this.peers = peers;
    }

    FleetState onRequest(FleetState state, long nowMillis, List<FleetEffect> effects) {
        if (!(state.stop() instanceof StopStage.Serving)) {
            return state;
        }
        effects.add(FleetEffect.Note.of(
                "stop_requested", "open_requests", state.requests().size()));
        FleetState leaving = LeadershipFlow.giveUp(state.with(new StopStage.Leaving(nowMillis)), effects);
        return peers.sendDigest(leaving, nowMillis, effects);
    }

    FleetState tick(FleetState state, long nowMillis, List<FleetEffect> effects) {
        return switch (state.stop()) {
            case StopStage.Leaving leaving
            when nowMillis - leaving.sinceMillis() >= LEAVING_MILLIS -> {
                effects.add(new FleetEffect.StopListening());
                effects.add(new FleetEffect.Withdraw(state.self().id()));
                yield state.with(new StopStage.Draining(leaving.sinceMillis()));
            }
            case StopStage.Draining draining -> {
                long age = nowMillis - draining.sinceMillis();
                boolean over = age >= state.bounds().graceMillis() - END_MARGIN_MILLIS;
                boolean idle = state.requests().isEmpty() && age >= LEAVING_MILLIS + END_MARGIN_MILLIS;
                yield over || idle ? exit(state, effects) : state;
            }
            default -> state;
        };
    }

    private static FleetState exit(FleetState state, List<FleetEffect> effects) {
        for (FleetRequest request : state.requests().values()) {
            String caller = request.call().callerRequestId();
            effects.add(new FleetEffect.BreakAnswer(request.id(), caller, "the process ends"));
        }
        effects.add(FleetEffect.Note.of(
                "stopped", "broken_requests", state.requests().size()));
        effects.add(new FleetEffect.Exit());
        return state.with(new StopStage.Stopped());
    }
}
