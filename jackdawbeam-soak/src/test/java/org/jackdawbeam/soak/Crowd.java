package org.jackdawbeam.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** Clients that send what they are told, never read an answer, and keep their connections. */
final class Crowd implements AutoCloseable {
    private static final long PAUSE_MILLIS = 5;
    /** Without progress for so long, what is left is not going to be read. */
    private static final long STALLED_MILLIS = 500;

    private final int port;
    private final List<Member> members = new ArrayList<>();

    private record Member(SocketChannel channel, ByteBuffer rest) {}

    Crowd(int port) {
        this.port = port;
    }

    /** Connects one more client, which is going to send the bytes. */
    void join(byte[] bytes) {
        try {
            SocketChannel channel = SocketChannel.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            channel.configureBlocking(false);
            members.add(new Member(channel, ByteBuffer.wrap(bytes)));
        } catch (IOException e) {
            // The entry accepts no further connection.
        }
    }

    /** Sends until everything has been sent, or nothing more of it is taken. */
    void send() throws InterruptedException {
        long progressAt = System.currentTimeMillis();
        boolean unfinished = true;
        while (unfinished && System.currentTimeMillis() - progressAt < STALLED_MILLIS) {
            unfinished = false;
            boolean progress = false;
            for (Member member : members) {
                progress |= write(member);
                unfinished |= member.rest().hasRemaining();
            }
            if (progress) {
                progressAt = System.currentTimeMillis();
            } else {
                Thread.sleep(PAUSE_MILLIS);
            }
        }
    }

    private static boolean write(Member member) {
        try {
            return member.channel().isOpen()
                    && member.rest().hasRemaining()
                    && member.channel().write(member.rest()) > 0;
        } catch (IOException e) {
            member.rest().position(member.rest().limit()); // the entry has closed the connection
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        for (Member member : members) {
            member.channel().close();
        }
    }
}
