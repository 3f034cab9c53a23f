package org.jackdawbeam.soak;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** HTTP connection of a caller, reused until the entry closes it. Not thread-safe. */
final class CallerConnection implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000; // callers allow a second
    private static final int READ_TIMEOUT_MILLIS = 7_000; // route timeout of 5 s and time to detect a late response
    private static final int HEXADECIMAL = 16;
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 ([1-5][0-9]{2})( .*)?");
    private static final Pattern FIELD_LINE = Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+):(.*)");

    private final InetSocketAddress address;
    private final Runnable onStatus;
    private Socket socket;
    private InputStream input;
    private int answers;

    CallerConnection(int port) {
        this(port, () -> {});
    }

    /**
     * Creates a connection that is opened with its first request.
     *
     * @param onStatus runs when the status line of a response has been read
     */
    CallerConnection(int port, Runnable onStatus) {
        this.onStatus = onStatus;
        this.address = new InetSocketAddress("127.0.0.1", port);
    }

    /** Returns whether the next request reuses a connection. */
    boolean isUsed() {
        return socket != null && answers > 0;
    }

    Outcome send(String request) {
        if (!connect()) {
            return new Outcome.Unreachable();
        }
        boolean headSeen = false;
        try {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            int status = Integer.parseInt(match(STATUS_LINE, readLine()).group(1));
            headSeen = true;
            onStatus.run();
            Map<String, String> headers = readHeaders();
            String body = readBody(headers);
            answers++;
            if ("close".equalsIgnoreCase(headers.get("connection"))) {
                close();
            }
            return new Outcome.Answered(status, headers, body);
        } catch (MalformedLineException e) {
            close();
            return new Outcome.Malformed(e.line);
        } catch (SocketTimeoutException e) {
            close();
            return new Outcome.GivenUp();
        } catch (IOException e) {
            close();
            return new Outcome.Broken(headSeen);
        }
    }

    private boolean connect() {
        if (socket != null) {
            return true;
        }
        Socket opened = new Socket();
        try {
            opened.connect(address, CONNECT_TIMEOUT_MILLIS);
            opened.setSoTimeout(READ_TIMEOUT_MILLIS);
            opened.setTcpNoDelay(true);
            input = new BufferedInputStream(opened.getInputStream());
            socket = opened;
            answers = 0;
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private Map<String, String> readHeaders() throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            Matcher field = match(FIELD_LINE, line);
            headers.put(field.group(1).toLowerCase(Locale.ROOT), field.group(2).trim());
        }
        return headers;
    }

    private static Matcher match(Pattern pattern, String line) throws MalformedLineException {
        Matcher matcher = pattern.matcher(line);
        if (!matcher.matches()) {
            throw new MalformedLineException(line);
        }
        return matcher;
    }

    private String readBody(Map<String, String> headers) throws IOException {
        if (!headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            return readText(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        }
        StringBuilder body = new StringBuilder();
        for (int size = readChunkSize(); size > 0; size = readChunkSize()) {
            body.append(readText(size));
            readLine();
        }
        readHeaders();
        return body.toString();
    }

    private int readChunkSize() throws IOException {
        return Integer.parseInt(readLine().trim(), HEXADECIMAL);
    }

    private String readText(int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("connection closed before the end of the response");
        }
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int read = input.read(); read != '\n'; read = input.read()) {
            if (read < 0) {
                throw new EOFException("connection closed before the end of the response");
            }
            line.append((char) read);
        }
        return line.toString().stripTrailing();
    }

    private static final class MalformedLineException extends IOException {
        private static final long serialVersionUID = 1L;

        private final String line;

        MalformedLineException(String line) {
            super("malformed line in a response");
            this.line = line;
        }
    }

    @Override
    public void close() {
        if (socket == null) {
            return;
        }
        try {
            socket.close();
        } catch (IOException e) {
            throw new IllegalStateException("failed to close the socket", e);
        } finally {
            socket = null;
        }
    }
}
