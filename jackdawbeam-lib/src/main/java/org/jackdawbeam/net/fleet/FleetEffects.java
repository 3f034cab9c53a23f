package org.jackdawbeam.net.fleet;

import java.util.function.Consumer;
import org.jackdawbeam.logic.fleet.FleetEffect;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.net.peer.PeerConnections;
import org.jackdawbeam.net.target.TargetAddress;
import org.jackdawbeam.net.target.TargetConnections;

/** Executes the effects that the reducer returns. */
public final class FleetEffects implements Consumer<FleetEffect> {
    private final FleetLoop loop;
    private final FleetPlatform platform;
    private final PeerConnections<FleetMessage> peers;
    private final RequestRelay relay;
    private final TargetConnections connections;
    private final Lifecycle lifecycle;

    /** Steps of the shutdown of the process. */
    public interface Lifecycle {
        /** Closes the sockets that listen for callers. */
        void stopListening();

        /** Exits the process. */
        void exit();
    }

    public FleetEffects(
            FleetLoop loop,
            FleetPlatform platform,
            PeerConnections<FleetMessage> peers,
            RequestRelay relay,
            TargetConnections connections,
            Lifecycle lifecycle) {
        this.loop = loop;
        this.platform = platform;
        this.peers = peers;
        this.relay = relay;
        this.connections = connections;
        this.lifecycle = lifecycle;
    }

    @Override
    public void accept(FleetEffect effect) {
        switch (effect) {
            case FleetEffect.ReadFeed read -> platform.readFeed(read, loop::submit);
            case FleetEffect.Announce announce -> platform.announce(announce.member(), loop::submit);
            case FleetEffect.Withdraw withdraw -> platform.withdraw(withdraw.memberId());
            case FleetEffect.AppendLeadership append -> platform.appendLeadership(append, loop::submit);
            case FleetEffect.ReadLeadership read -> platform.readLeadership(read, loop::submit);
            case FleetEffect.StoreQuarantine store -> platform.storeQuarantine(store, loop::submit);
            case FleetEffect.SendPeerMessage send -> peers.send(send.address(), send.message());
            case FleetEffect.StartAttempt start -> relay.start(start);
            case FleetEffect.RelayAnswer answer -> relay.relay(answer.attempt());
            case FleetEffect.CancelAttempt cancel -> relay.cancel(cancel.attempt());
            case FleetEffect.RefuseRequest refuse -> relay.refuse(refuse.requestId(), refuse.refusal());
            case FleetEffect.BreakAnswer broken -> relay.abortResponse(broken.requestId());
            case FleetEffect.ForgetRequest forget -> relay.forget(forget.requestId());
            case FleetEffect.WakeAfter wake -> loop.wakeAfter(wake.delayMillis());
            case FleetEffect.SendOrder send -> platform.sendOrder(send.order(), loop::submit);
            case FleetEffect.ReadReport read -> platform.readReport(read, loop::submit);
            case FleetEffect.ForgetTarget forget -> connections.closeIdle(TargetAddress.parse(forget.address()));
            case FleetEffect.StopListening stop -> lifecycle.stopListening();
            case FleetEffect.Exit exit -> lifecycle.exit();
            case FleetEffect.Note note -> {
                // Observers write notes to the log.
            }
        }
    }
}
