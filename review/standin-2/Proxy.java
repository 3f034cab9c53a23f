import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Passes connections on to one address. Chosen connections can go silent: no byte passes, and they stay open. Like an
 * address translation, it also replaces addresses of machines in what passes, by others of the same length.
 */
final class Proxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 64 * 1024;

    private final ServerSocket listener;
    private final InetSocketAddress destination;
    private final Map<String, String> translations;
    private final List<Link> links = new ArrayList<>();

    private static final class Link {
        private volatile boolean silent;
        private volatile String firstBytes = "";
    }

    /**
     * Starts a proxy on the port of the destination and another address.
     *
     * @param translations addresses and ports of all machines as they are, and as others see them
     */
    Proxy(String ip, String destination, Map<String, String> translations) throws IOException {
        int colon = destination.lastIndexOf(':');
        int port = Integer.parseInt(destination.substring(colon + 1));
        this.destination = new InetSocketAddress(destination.substring(0, colon), port);
        this.translations = translations;
        listener = new ServerSocket(port, 1024, InetAddress.getByName(ip));
        Thread.ofVirtual().start(this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /**
     * Silences the open connections whose first bytes name the sender before any other machine.
     *
     * @return how many there were
     */
    synchronized int silenceConnectionsOf(String sender, List<String> machines) {
        int silenced = 0;
        for (Link link : links) {
            Optional<String> first = machines.stream()
                    .filter(link.firstBytes::contains)
                    .min((one, other) -> link.firstBytes.indexOf(one) - link.firstBytes.indexOf(other));
            if (!link.silent && first.equals(Optional.of(sender))) {
                link.silent = true;
                silenced++;
            }
        }
        return silenced;
    }

    private void accept() {
        try {
            while (true) {
                Socket near = listener.accept();
                Link link = new Link();
                synchronized (this) {
                    links.add(link);
                }
                Thread.ofVirtual().start(() -> connect(near, link));
            }
        } catch (IOException e) {
            // The listener has been closed.
        }
    }

    private void connect(Socket near, Link link) {
        Socket far = new Socket();
        try {
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            far.connect(destination, 1_000);
            Thread.ofVirtual().start(() -> pass(far, near, link, false));
            pass(near, far, link, true);
        } catch (IOException e) {
            close(near);
            close(far);
        }
    }

    private void pass(Socket from, Socket to, Link link, boolean forward) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                if (forward && link.firstBytes.isEmpty()) {
                    link.firstBytes = new String(buffer, 0, length, StandardCharsets.ISO_8859_1);
                }
                if (!link.silent) {
                    out.write(translated(buffer, length));
                    out.flush();
                }
            }
        } catch (IOException e) {
            // The connection has ended.
        }
        if (!link.silent) {
            close(from);
            close(to);
        }
    }

    private byte[] translated(byte[] buffer, int length) {
        String text = new String(buffer, 0, length, StandardCharsets.ISO_8859_1);
        for (Map.Entry<String, String> translation : translations.entrySet()) {
            text = text.replace(translation.getKey(), translation.getValue());
        }
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is not used any more.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
