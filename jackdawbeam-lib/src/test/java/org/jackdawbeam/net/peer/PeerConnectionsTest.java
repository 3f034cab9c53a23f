package org.jackdawbeam.net.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.peer.PeerMessage;
import org.jackdawbeam.net.codec.MessageMapper;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PeerConnectionsTest {
    private static final PeerMessage MESSAGE =
            new PeerMessage.WithdrawalNotice(new Member("a", 1, "zone", "url", "a:1"), "k");
    private final AtomicLong nowMillis = new AtomicLong();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final PeerConnections<PeerMessage> connections =
            new PeerConnections<>(group, MessageMapper.messagePack(), nowMillis::get);
    private final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();
    // Keeps the sockets open: the garbage collector closes sockets that nothing refers to.
    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private ServerSocket server;
    private String address;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        address = "127.0.0.1:" + server.getLocalPort();
        Thread.ofPlatform().daemon(true).start(this::acceptAll);
    }

    @AfterEach
    void stop() throws IOException {
        connections.close();
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
        group.shutdownGracefully();
    }

    @Test
    void unresponsiveConnectionIsReplaced() throws Exception {
        connections.send(address, MESSAGE);
        Socket first = accepted.poll(5, TimeUnit.SECONDS);
        assertThat(first.getInputStream().read()).isNotNegative();
        nowMillis.addAndGet(2_001);

        connections.send(address, MESSAGE);

        Socket second = accepted.poll(5, TimeUnit.SECONDS);
        assertThat(second).isNotNull();
        assertThat(second.getInputStream().read()).isNotNegative();
    }

    @Test
    void connectionIsKeptWhileThePeerSendsMessages() throws Exception {
        connections.send(address, MESSAGE);
        Socket first = accepted.poll(5, TimeUnit.SECONDS);
        assertThat(first.getInputStream().read()).isNotNegative();
        nowMillis.addAndGet(1_999);
        connections.messageReceived(address);
        nowMillis.addAndGet(1_999);

        connections.send(address, MESSAGE);

        assertThat(accepted.poll(300, TimeUnit.MILLISECONDS)).isNull();
    }

    // Guards against a connection that is silent one way while the peer's messages arrive on one of its own.
    @Test
    void connectionWhoseMessagesAreNoLongerAcknowledgedIsReplaced() throws Exception {
        connections.send(address, MESSAGE);
        Socket first = accepted.poll(5, TimeUnit.SECONDS);
        acknowledge(first);
        nowMillis.addAndGet(1_000);
        connections.send(address, MESSAGE);
        nowMillis.addAndGet(2_001);
        connections.messageReceived(address);

        connections.send(address, MESSAGE);

        assertThat(accepted.poll(5, TimeUnit.SECONDS)).isNotNull();
    }

    @Test
    void connectionThatIsUsedRarelyIsKept() throws Exception {
        connections.send(address, MESSAGE);
        acknowledge(accepted.poll(5, TimeUnit.SECONDS));
        connections.send(address, MESSAGE);
        nowMillis.addAndGet(60_000);

        connections.send(address, MESSAGE);

        assertThat(accepted.poll(300, TimeUnit.MILLISECONDS)).isNull();
    }

    // Guards against replacing the connections to a peer whose older build acknowledges nothing again and again.
    @Test
    void peerThatNoLongerAcknowledgesIsKnownByItsMessages() throws Exception {
        connections.send(address, MESSAGE);
        acknowledge(accepted.poll(5, TimeUnit.SECONDS));
        nowMillis.addAndGet(1_000);
        connections.send(address, MESSAGE);
        for (int replaced = 0; replaced < 2; replaced++) {
            nowMillis.addAndGet(2_001);
            connections.send(address, MESSAGE);
            assertThat(accepted.poll(5, TimeUnit.SECONDS).getInputStream().read())
                    .isNotNegative();
        }
        nowMillis.addAndGet(1_999);
        connections.messageReceived(address);
        nowMillis.addAndGet(1_999);

        connections.send(address, MESSAGE);

        assertThat(accepted.poll(300, TimeUnit.MILLISECONDS)).isNull();
    }

    /** Sends the empty frame that acknowledges messages. */
    private static void acknowledge(Socket socket) throws Exception {
        assertThat(socket.getInputStream().read()).isNotNegative();
        socket.getOutputStream().write(new byte[4]);
        TimeUnit.MILLISECONDS.sleep(200); // until the client has read it
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                sockets.add(socket);
                accepted.add(socket);
            } catch (IOException e) {
                return;
            }
        }
    }
}
