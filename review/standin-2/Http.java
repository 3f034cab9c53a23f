import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** A minimal HTTP/1.1 server and client on blocking sockets and virtual threads. */
final class Http {
    private Http() {}

    /** A request or a response; header names are in lower case. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String uri() {
            return startLine.split(" ")[1];
        }

        String path() {
            return uri().split("\\?")[0];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        Map<String, String> query() {
            Map<String, String> query = new LinkedHashMap<>();
            int start = uri().indexOf('?');
            if (start >= 0) {
                for (String part : uri().substring(start + 1).split("&")) {
                    int equals = part.indexOf('=');
                    query.put(
                            equals < 0 ? part : part.substring(0, equals), equals < 0 ? "" : part.substring(equals + 1));
                }
            }
            return query;
        }
    }

    /** Answers the requests of one connection. Returns null to close the connection without an answer. */
    interface Handler {
        byte[] answer(Connection connection, Message request) throws Exception;
    }

    /** An accepted connection. */
    static final class Connection {
        private final Socket socket;
        private volatile boolean silent;

        Connection(Socket socket) {
            this.socket = socket;
        }

        /** From now on nothing passes on this connection any more, and it is not closed. */
        void silence() {
            silent = true;
        }
    }

    static final class Server implements AutoCloseable {
        private final ServerSocket listener;
        private final List<Connection> connections = new ArrayList<>();

        Server(String ip, Handler handler) throws IOException {
            listener = new ServerSocket(0, 1024, InetAddress.getByName(ip));
            Thread.ofVirtual().start(() -> accept(handler));
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        /** Silences the open connections and returns how many there were; new ones work. */
        synchronized int silenceConnections() {
            int open = 0;
            for (Connection connection : connections) {
                if (!connection.socket.isClosed() && !connection.silent) {
                    connection.silence();
                    open++;
                }
            }
            return open;
        }

        private void accept(Handler handler) {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    Connection connection = new Connection(socket);
                    synchronized (this) {
                        connections.add(connection);
                    }
                    Thread.ofVirtual().start(() -> serve(connection, handler));
                }
            } catch (IOException e) {
                // The listener has been closed.
            }
        }

        private void serve(Connection connection, Handler handler) {
            try (Socket socket = connection.socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (true) {
                    Message request = read(in, false);
                    if (request == null) {
                        return;
                    }
                    byte[] answer = connection.silent ? new byte[0] : handler.answer(connection, request);
                    if (connection.silent) {
                        Thread.sleep(Long.MAX_VALUE);
                    }
                    if (answer == null) {
                        return;
                    }
                    out.write(answer);
                    out.flush();
                }
            } catch (Exception e) {
                // The connection has ended.
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** A client's connection. */
    static final class Client implements AutoCloseable {
        private final Socket socket = new Socket();
        private final InputStream in;

        Client(String address, int connectMillis, int readMillis) throws IOException {
            int colon = address.lastIndexOf(':');
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    connectMillis);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(readMillis);
            in = new BufferedInputStream(socket.getInputStream());
        }

        Message send(String method, String uri, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder(method + " " + uri + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            if (body.length > 0 || !method.equals("GET")) {
                head.append("Content-Length: " + body.length + "\r\n");
            }
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.write(body);
            IOException failure = null;
            try {
                socket.getOutputStream().write(bytes.toByteArray());
                socket.getOutputStream().flush();
            } catch (IOException e) {
                failure = e; // an answer may have come before the whole request has been read
            }
            Message answer = read(in, true);
            if (answer == null) {
                throw failure != null ? failure : new EOFException("closed without an answer");
            }
            return answer;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static byte[] response(int status, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Length: " + body.length + "\r\n\r\n");
        byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + body.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        return all;
    }

    private static Message read(InputStream in, boolean response) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                copy(in, body, size);
                line(in);
            }
            line(in);
        } else {
            copy(in, body, Integer.parseInt(headers.getOrDefault("content-length", "0")));
        }
        return new Message(start, headers, body.toByteArray());
    }

    private static int chunkSize(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            throw new EOFException("closed inside a body");
        }
        return Integer.parseInt(line.split(";")[0].trim(), 16);
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("closed inside a body");
        }
        out.write(bytes);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
