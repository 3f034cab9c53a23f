package org.jackdawbeam.net.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.peer.PeerMessage;
import org.jackdawbeam.net.codec.MessageMapper;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerServerTest {
    private static final PeerMessage MESSAGE =
            new PeerMessage.WithdrawalNotice(new Member("a", 1, "zone", "url", "a:1"), "k");
    private static final int OPEN_MILLIS = 500; // a server that closes the connection does so at once

    private final MessageMapper mapper = MessageMapper.messagePack();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
    private final AtomicLong nowMillis = new AtomicLong();
    private final PeerServer server = PeerServer.start(
            group,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            mapper,
            PeerMessage.class,
            nowMillis::get,
            received::add);

    @AfterEach
    void stop() {
        server.close();
        group.shutdownGracefully();
    }

    // Guards against losing the messages of newer builds that follow one of a kind unknown to this build.
    @Test
    void messageOfAnUnknownKindDoesNotCloseTheConnection() throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            DataOutputStream output = new DataOutputStream(socket.getOutputStream());
            writeFrame(output, mapper.write(Map.of("type", "FromANewerBuild")));
            socket.setSoTimeout(OPEN_MILLIS);
            assertThatExceptionOfType(SocketTimeoutException.class)
                    .isThrownBy(() -> socket.getInputStream().read());

            writeFrame(output, mapper.write(MESSAGE));

            assertThat(received.poll(5, TimeUnit.SECONDS)).isEqualTo(MESSAGE);
        }
    }

    @Test
    void messageIsAcknowledgedUnlessOneWasJustBefore() throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            DataOutputStream output = new DataOutputStream(socket.getOutputStream());
            socket.setSoTimeout(OPEN_MILLIS);
            writeFrame(output, mapper.write(MESSAGE));
            assertThat(socket.getInputStream().readNBytes(4)).containsOnly(0);
            nowMillis.addAndGet(899);
            writeFrame(output, mapper.write(MESSAGE));
            assertThatExceptionOfType(SocketTimeoutException.class)
                    .isThrownBy(() -> socket.getInputStream().read());

            nowMillis.addAndGet(1);
            writeFrame(output, mapper.write(MESSAGE));

            assertThat(socket.getInputStream().readNBytes(4)).containsOnly(0);
        }
    }

    private static void writeFrame(DataOutputStream output, byte[] bytes) throws IOException {
        output.writeInt(bytes.length);
        output.write(bytes);
        output.flush();
    }
}
