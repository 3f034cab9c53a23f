package org.jackdawbeam.net.entry;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.opentelemetry.api.OpenTelemetry;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jackdawbeam.logic.configuration.SignatureVerifier;
import org.jackdawbeam.logic.entry.EntryOptions;
import org.jackdawbeam.logic.entry.EntryReducer;
import org.jackdawbeam.logic.entry.EntryState;
import org.jackdawbeam.logic.entry.Event;
import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.peer.PeerMessage;
import org.jackdawbeam.model.time.MonotonicClock;
import org.jackdawbeam.net.bundle.BundleFile;
import org.jackdawbeam.net.caller.CallerRequestHandler;
import org.jackdawbeam.net.caller.OpenRequests;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.http.BufferedHttpClient;
import org.jackdawbeam.net.http.HttpLimits;
import org.jackdawbeam.net.http.HttpServer;
import org.jackdawbeam.net.operator.AdministrationHandler;
import org.jackdawbeam.net.operator.PendingOperatorRequests;
import org.jackdawbeam.net.peer.PeerConnections;
import org.jackdawbeam.net.peer.PeerServer;
import org.jackdawbeam.net.platform.PlatformClient;
import org.jackdawbeam.net.target.EngineControl;
import org.jackdawbeam.net.target.TargetClient;
import org.jackdawbeam.net.target.TargetConnections;
import org.jackdawbeam.net.trace.Tracing;

/** A complete entry: creates and connects the reducer, the network clients and the servers. */
public final class EntryServer implements AutoCloseable {
    private final MultiThreadIoEventLoopGroup group;
    private final MonotonicClock clock;
    private final EventLoop loop;
    private final PeerConnections<PeerMessage> peers;
    private final PeerServer peerServer;
    private final HttpServer callerServer;
    private final HttpServer administrationServer;

    /**
     * Starts an entry.
     *
     * @param self member record of this run of the entry
     * @param operatorKeySha256 SHA-256 of the operator key in lower-case hexadecimal
     * @param threads number of I/O threads
     * @param listener observer of the reducer
     * @param metrics supplies the content of the metrics page
     * @param onExit called when a planned stop is complete
     */
    public EntryServer(
            Member self,
            EntryAddresses addresses,
            EntryOptions options,
            SignatureVerifier verifier,
            String operatorKeySha256,
            int threads,
            HttpLimits limits,
            OpenTelemetry openTelemetry,
            MonotonicClock clock,
            TransitionListener listener,
            Supplier<byte[]> metrics,
            Runnable onExit) {
        this.clock = clock;
        this.group = new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory("connections", true), NioIoHandler.newFactory());
        MessageMapper json = MessageMapper.json();
        MessageMapper messagePack = MessageMapper.messagePack();
        EntryReducer reducer = new EntryReducer(options, verifier, new BundleFile(json));
        this.loop = new EventLoop(reducer, EntryState.starting(self, clock.nowMillis()), clock, listener);
        OpenRequests requests = new OpenRequests();
        PendingOperatorRequests operators = new PendingOperatorRequests();
        BufferedHttpClient control = new BufferedHttpClient(group);
        Tracing tracing = new Tracing(openTelemetry);
        this.peers = new PeerConnections<>(group, messagePack, clock);
        TargetConnections connections = new TargetConnections(group, clock);
        EntryEffects effects = new EntryEffects(
                loop,
                clock,
                requests,
                operators,
                new PlatformClient(addresses.platform(), control, json),
                peers,
                new TargetClient(connections, options.timings(), json, tracing),
                new EngineControl(control, json, options.timings().orderAnswerMillis()),
                json,
                onExit);
        loop.start(effects);
        this.peerServer =
                PeerServer.start(group, addresses.peers(), messagePack, PeerMessage.class, clock, this::onPeerMessage);
        CallerRequestHandler callers =
                new CallerRequestHandler(loop, requests, clock, options.timings(), json, tracing);
        this.callerServer = HttpServer.start(group, addresses.callers(), limits, callers);
        AdministrationHandler administration =
                new AdministrationHandler(loop, operators, clock, options.timings(), json, operatorKeySha256, metrics);
        this.administrationServer = HttpServer.start(group, addresses.administration(), limits, administration);
    }

    /** Returns the latest state of the reducer. */
    public EntryState state() {
        return loop.state();
    }

    /** Returns the number of bytes sent to other entries so far. */
    public long peerBytesSent() {
        return peers.bytesSent();
    }

    /** Starts a planned stop; {@code onExit} runs when it is complete. */
    public void stop() {
        loop.submit(new Event.StopRequested(clock.nowMillis()));
    }

    @Override
    public void close() {
        callerServer.close();
        administrationServer.close();
        peerServer.close();
        peers.close();
        loop.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
    }

    private void onPeerMessage(PeerMessage message) {
        peers.messageReceived(message.sender().peerAddress());
        loop.submit(new Event.PeerReceived(clock.nowMillis(), message));
    }
}
