import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-ins for the platform's store, for plain services and for clients, and the entries of a small deployment as
 * separate processes. The stand-ins speak what PROTOCOL.md says, over plain sockets.
 */
final class Harness implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    static final String HOST = "ficu95.example";
    static final String KEY = "i9n73hh2b9wu3fexd9dn";
    static final String TENANT = "hule930";
    static final long BEAT_MILLIS = 1_200; // heartbeatMs
    static final int MAXIMUM_BODY_BYTES = 4_194_304; // maxBodyBytes of the site rus-maksajumi
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final Set<Integer> givenPorts = ConcurrentHashMap.newKeySet();

    final Store store;
    private final Path root;
    private final Path work;
    private final BufferedWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Entry> entries = new CopyOnWriteArrayList<>();
    private final AtomicLong requestIds = new AtomicLong(System.nanoTime() & 0xFFFFFFFFFFL);

    Harness(Path folder) throws IOException {
        this.root = folder.toRealPath().getParent().getParent();
        this.work = Files.createTempDirectory("jackdawbeam-review");
        this.record = Files.newBufferedWriter(folder.resolve("record.txt"));
        this.store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> entries.forEach(Entry::kill)));
        record("trouble=" + TROUBLE);
    }

    /** A case that a main method runs. */
    interface Scenario {
        int run(Harness harness) throws Exception;
    }

    /** Runs a scenario and exits with its result; with 2 if it fails or takes too long. */
    static void run(String folder, Scenario scenario) {
        Thread watchdog = new Thread(() -> {
            sleep(115_000);
            System.out.println("the case took too long");
            System.exit(NOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int result = NOT_RUN;
        try (Harness harness = new Harness(Path.of(folder))) {
            result = scenario.run(harness);
            harness.record("result " + result + (result == BROKEN ? " (rule broken)" : result == HELD ? " (rule held)" : ""));
            System.out.println("exit " + result);
        } catch (Throwable e) {
            e.printStackTrace();
            result = NOT_RUN;
        }
        System.exit(result);
    }

    /** Milliseconds since the start of the case. */
    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void record(String line) {
        try {
            record.write(String.format("%7d ms  %s%n", now(), line));
            record.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    String newRequestId() {
        return Long.toHexString(requestIds.incrementAndGet());
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void sleepUntil(long atMillis) {
        sleep(atMillis - now());
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    static int freePort() throws IOException {
        for (int attempt = 0; attempt < 200; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 30_000);
            if (!givenPorts.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, loopback())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // The port is in use.
            }
        }
        throw new IOException("no free port");
    }

    static InetAddress loopback() {
        return InetAddress.getLoopbackAddress();
    }

    /** Starts an entry with the command of the deploy file. */
    Entry startEntry(String name) throws IOException {
        Entry entry = new Entry(name);
        entries.add(entry);
        return entry;
    }

    /** Publishes the first configuration: routes of one host to the service, and one tenant with a key. */
    void configure(String service, String routes) {
        String config = "{\"version\":7,\"routes\":[" + routes + "],\"services\":[{\"name\":\"" + service
                + "\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":" + MAXIMUM_BODY_BYTES
                + ",\"headerTimeoutMs\":10000,\"idleTimeoutMs\":60000},\"tenants\":[{\"name\":\"" + TENANT
                + "\",\"apiKeys\":[\"" + KEY + "\"],\"ratePerS\":0,\"burst\":0}]}";
        store.put("keyed.op", "config", config.getBytes(StandardCharsets.UTF_8));
        record("operator: configuration version 7 acknowledged");
    }

    static String route(String prefix, String kind, int timeoutMillis, int attempts, String service, boolean resumable) {
        return "{\"name\":\"r" + prefix.replace("/", "") + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"" + prefix
                + "\",\"kind\":\"" + kind + "\",\"timeoutMs\":" + timeoutMillis + ",\"aimMs\":386,\"priority\":2,"
                + "\"service\":\"" + service + "\",\"maxAttempts\":" + attempts
                + ",\"public\":false,\"sticky\":false,\"resumable\":" + resumable + "}";
    }

    /** Waits until all entries are ready, and half a second more. */
    void awaitReady() {
        for (Entry entry : entries) {
            for (int attempt = 0; !entry.isReady(); attempt++) {
                if (attempt > 200) {
                    throw new IllegalStateException(entry.name + " is not ready");
                }
                sleep(100);
            }
            record(entry.name + " is ready");
        }
        sleep(1_500);
    }

    @Override
    public void close() throws IOException {
        entries.forEach(Entry::kill);
        record.close();
        try (var files = Files.walk(work)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
        }
    }

    /** An entry process. */
    final class Entry {
        final String name;
        final int front = freePort();
        private final int ready = freePort();
        private final int directory = freePort();
        private final Path settings;
        private volatile Process process;

        Entry(String name) throws IOException {
            this.name = name;
            this.settings = work.resolve(name + ".toml");
            Files.writeString(settings, settings());
            start();
        }

        /** Starts the process, again with the same settings if it has ended. */
        void start() throws IOException {
            String deploy = Files.readString(root.resolve("deploy/system.toml"));
            String command = deploy.lines()
                    .filter(line -> line.startsWith("run = "))
                    .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                    .findFirst()
                    .orElseThrow();
            ProcessBuilder builder = new ProcessBuilder(Arrays.asList(command.split(" ")));
            builder.directory(root.toFile());
            builder.environment().put("JACKDAWBEAM_NODE_FILE", settings.toString());
            builder.environment().put("JACKDAWBEAM_METRICS_PORT", "0");
            builder.redirectErrorStream(true);
            String log = System.getenv("ENTRY_LOGS");
            builder.redirectOutput(
                    log == null ? ProcessBuilder.Redirect.DISCARD : ProcessBuilder.Redirect.to(Path.of(log, name + ".log").toFile()));
            this.process = builder.start();
            record(name + " started");
            process.onExit().thenAccept(ended -> record(name + " ended with status " + ended.exitValue()));
        }

        private String settings() throws IOException {
            int peers = freePort();
            return """
                    nodeName = "%s"
                    role = "entry"
                    machineClass = "front"
                    serves = ["front","directory"]
                    ip = "127.0.0.1"
                    zone = "riga-a"
                    region = "riga"
                    portRange = [%d,%d]
                    seeds = []
                    firstStart = true
                    heartbeatMs = 1200
                    [zones]
                    riga-a = "riga"
                    [listen]
                    front = "127.0.0.1:%d"
                    ready = "127.0.0.1:%d"
                    directory = "127.0.0.1:%d"
                    [limits]
                    cpuShare = 0.75
                    cores = 1
                    memoryMb = 430
                    maxFds = 4100
                    linkMbps = 1000.0
                    diskMb = 0
                    [bounds]
                    seedLagS = 3
                    addrReuseS = 2
                    contactMs = 3000
                    ackMs = 4000
                    catchUpS = 4
                    drainMs = 2000
                    graceS = 8
                    lossSlackMs = 200
                    configApplyMs = 2000
                    downgradeSlackMs = 250
                    maxStretchMs = 5000
                    strictRevoke = true
                    revokeMs = 5000
                    retryBudgetRatio = 0.2
                    budgetWindowS = 10
                    retrySlack = 56
                    quotaWindowS = 8
                    quotaOvershoot = 0.1
                    quotaSlack = 17000
                    recoveryS = 12
                    passMs = 120
                    retryAfterS = 0
                    fenceChecked = true
                    leaseMs = 3000
                    thawSlackMs = 300
                    ceilingWindowS = 5
                    ceilingOvershoot = 1.1
                    ttl_max_s = 5
                    [platform]
                    address = "127.0.0.1:%d"
                    form = "log"
                    writesPerS = 400
                    readsPerS = 2000
                    parts = 12
                    appendMs = 2.0
                    partMbS = 20.0
                    readMbS = 80.0
                    recordBytes = 262144
                    callBytes = 2097152
                    keep_s = 300
                    partMb = 200
                    ttlMinMs = 1000
                    """
                    .formatted(name, peers, peers, front, ready, directory, store.port());
        }

        boolean isAlive() {
            return process.isAlive();
        }

        /** Waits for the end of the process and returns its status. */
        int awaitEnd() throws InterruptedException {
            return process.waitFor();
        }

        boolean isReady() {
            try (Socket socket = new Socket(loopback(), ready)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
                return Http.readHead(new BufferedInputStream(socket.getInputStream())).start().contains(" 200");
            } catch (IOException e) {
                return false;
            }
        }

        /** Sends a signal, such as TERM. */
        void signal(String signal) throws Exception {
            record(name + " gets SIG" + signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        /** Ends the process, if it still runs. */
        void end() throws InterruptedException {
            process.destroyForcibly().waitFor();
            entries.remove(this);
        }

        private void kill() {
            process.destroyForcibly();
        }
    }

    /** Reading of HTTP messages. */
    static final class Http {
        /** The first line and the headers, by lower-case name. */
        record Head(String start, Map<String, String> headers) {
            String header(String name) {
                return headers.getOrDefault(name, "");
            }
        }

        static Head readHead(InputStream in) throws IOException {
            String start = readLine(in);
            Map<String, String> headers = new LinkedHashMap<>();
            for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            }
            return new Head(start, headers);
        }

        static String readLine(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    throw new EOFException("connection closed");
                }
                line.write(next);
            }
            String text = line.toString(StandardCharsets.ISO_8859_1);
            return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
        }

        /** Reads a body with a length or in chunks; throws if the connection ends before it is complete. */
        static byte[] readBody(InputStream in, Head head) throws IOException {
            if (head.header("transfer-encoding").contains("chunked")) {
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                while (true) {
                    int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
                    byte[] chunk = readFully(in, size);
                    body.write(chunk);
                    readLine(in);
                    if (size == 0) {
                        return body.toByteArray();
                    }
                }
            }
            String length = head.header("content-length");
            return length.isEmpty() ? new byte[0] : readFully(in, Integer.parseInt(length));
        }

        private static byte[] readFully(InputStream in, int size) throws IOException {
            byte[] bytes = in.readNBytes(size);
            if (bytes.length < size) {
                throw new EOFException("connection closed after " + bytes.length + " of " + size + " bytes");
            }
            return bytes;
        }
    }

    /** What a client has seen of its request. */
    record Answer(int status, Http.Head head, byte[] body, String failure) {
        boolean isComplete() {
            return failure.isEmpty();
        }
    }

    /** A client with one connection that it keeps open. */
    final class Client implements AutoCloseable {
        private final int port;
        private Socket socket;
        private InputStream in;

        Client(int port) {
            this.port = port;
        }

        Answer send(String method, String path, String id, long deadlineMillis, byte[] body) {
            return send(method, path, id, deadlineMillis, body, "");
        }

        Answer send(String method, String path, String id, long deadlineMillis, byte[] body, String moreHeaders) {
            Http.Head head = null;
            int status = 0;
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.setTcpNoDelay(true);
                    socket.connect(new InetSocketAddress(loopback(), port), 1_000);
                    in = new BufferedInputStream(socket.getInputStream(), 65_536);
                }
                socket.setSoTimeout((int) deadlineMillis + 1_000);
                String request = method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id
                        + "\r\nDeadline-Ms: " + deadlineMillis + "\r\nApi-Key: " + KEY + "\r\n" + moreHeaders
                        + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
                OutputStream out = socket.getOutputStream();
                out.write(request.getBytes(StandardCharsets.ISO_8859_1));
                out.write(body);
                out.flush();
                head = Http.readHead(in);
                status = Integer.parseInt(head.start().split(" ")[1]);
                byte[] answer = Http.readBody(in, head);
                if (head.header("connection").equalsIgnoreCase("close")) {
                    close();
                }
                return new Answer(status, head, answer, "");
            } catch (IOException e) {
                close();
                return new Answer(status, head, new byte[0], String.valueOf(e.getMessage()));
            }
        }

        @Override
        public void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                // The connection is gone in any case.
            }
            socket = null;
        }
    }

    /** The platform's store: a log with topics of one partition. */
    final class Store {
        private final ServerSocket server;
        private final Map<String, Topic> topics = new HashMap<>();
        private volatile boolean silent;

        private static final class Topic {
            private final List<byte[]> records = new ArrayList<>();
            private final Map<String, byte[]> newest = new LinkedHashMap<>();
            private long first;

            private long end() {
                return first + records.size();
            }
        }

        Store() throws IOException {
            this.server = new ServerSocket(0, 256, loopback());
            Thread.ofVirtual().start(() -> acceptAll(server, this::serve));
        }

        int port() {
            return server.getLocalPort();
        }

        /** While it is silent, the store reads calls, does nothing of them and never answers them. */
        void setSilent(boolean on) {
            silent = on;
            Harness.this.record("store " + (on ? "is down (silent)" : "is back"));
        }

        /** Writes a record of a keyed topic, as the operator and the engines do; an empty value drops the key. */
        void put(String name, String key, byte[] value) {
            byte[] bytes = key.getBytes(StandardCharsets.UTF_8);
            append(name, List.of(ByteBuffer.allocate(1 + bytes.length + value.length)
                    .put((byte) bytes.length)
                    .put(bytes)
                    .put(value)
                    .array()), -1);
        }

        /** Deletes the records of a topic; the newest record of each key is retained. */
        void deleteRecords(String name) {
            synchronized (topics) {
                Topic topic = topics.computeIfAbsent(name, key -> new Topic());
                topic.first = topic.end();
                topic.records.clear();
            }
            Harness.this.record("store deletes the old records of " + name);
        }

        private long append(String name, List<byte[]> contents, long at) {
            synchronized (topics) {
                Topic topic = topics.computeIfAbsent(name, key -> new Topic());
                long offset = topic.end();
                if (at >= 0 && at != offset) {
                    return -1;
                }
                for (byte[] content : contents) {
                    if (name.startsWith("keyed.")) {
                        int length = content[0] & 0xFF;
                        String key = new String(content, 1, length, StandardCharsets.UTF_8);
                        byte[] value = Arrays.copyOfRange(content, 1 + length, content.length);
                        if (value.length == 0) {
                            topic.newest.remove(key);
                        } else {
                            topic.newest.put(key, value);
                        }
                    }
                    topic.records.add(content);
                }
                topics.notifyAll();
                return offset;
            }
        }

        private void serve(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Head head = Http.readHead(in);
                byte[] body = Http.readBody(in, head);
                if (silent) {
                    in.transferTo(OutputStream.nullOutputStream()); // nothing further comes on this connection
                    return;
                }
                String[] target = head.start().split(" ")[1].split("\\?");
                Map<String, String> query = new HashMap<>();
                for (String pair : target.length > 1 ? target[1].split("&") : new String[0]) {
                    query.put(pair.split("=", 2)[0], pair.split("=", 2)[1]);
                }
                byte[] answer = call(target[0], query, body);
                if (silent) {
                    in.transferTo(OutputStream.nullOutputStream());
                    return;
                }
                socket.getOutputStream().write(answer);
            }
        }

        private byte[] call(String path, Map<String, String> query, byte[] body) {
            String topic = query.getOrDefault("topic", "");
            return switch (path) {
                case "/v1/log-append" -> {
                    List<byte[]> contents = new ArrayList<>();
                    ByteBuffer buffer = ByteBuffer.wrap(body);
                    while (buffer.hasRemaining()) {
                        byte[] content = new byte[buffer.getInt()];
                        buffer.get(content);
                        contents.add(content);
                    }
                    sleep(2);
                    long offset = append(topic, contents, Long.parseLong(query.getOrDefault("at", "-1")));
                    yield offset < 0
                            ? json(412, "{\"end\":" + end(topic) + "}")
                            : json(200, "{\"offset\":" + offset + ",\"end\":" + (offset + contents.size()) + "}");
                }
                case "/v1/log-read" -> read(topic, Long.parseLong(query.get("from")), Long.parseLong(query.getOrDefault("waitMs", "0")));
                case "/v1/log-newest" -> newest(topic);
                default -> json(404, "{}");
            };
        }

        private long end(String name) {
            synchronized (topics) {
                return topics.containsKey(name) ? topics.get(name).end() : 0;
            }
        }

        private byte[] read(String name, long from, long waitMillis) {
            long until = System.nanoTime() + waitMillis * 1_000_000;
            synchronized (topics) {
                Topic topic = topics.computeIfAbsent(name, key -> new Topic());
                long left = waitMillis;
                while (topic.end() <= from && from >= topic.first && left > 0) {
                    try {
                        topics.wait(left);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    left = (until - System.nanoTime()) / 1_000_000;
                }
                if (from < topic.first) {
                    return json(410, "{\"first\":" + topic.first + "}");
                }
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                body.writeBytes(ByteBuffer.allocate(16).putLong(topic.end()).putLong(topic.first).array());
                for (long offset = from; offset < topic.end(); offset++) {
                    byte[] content = topic.records.get((int) (offset - topic.first));
                    body.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
                    body.writeBytes(content);
                }
                return answer(200, "application/octet-stream", body.toByteArray());
            }
        }

        private byte[] newest(String name) {
            synchronized (topics) {
                Topic topic = topics.computeIfAbsent(name, key -> new Topic());
                List<String> items = new ArrayList<>();
                topic.newest.forEach((key, value) -> items.add("{\"key\":\"" + key + "\",\"value\":\""
                        + Base64.getEncoder().encodeToString(value) + "\",\"offset\":0}"));
                return json(200, "{\"items\":[" + String.join(",", items) + "],\"hasMore\":false,\"end\":" + topic.end() + "}");
            }
        }

        private static byte[] json(int status, String body) {
            return answer(status, "application/json", body.getBytes(StandardCharsets.UTF_8));
        }

        private static byte[] answer(int status, String type, byte[] body) {
            byte[] head = ("HTTP/1.1 " + status + " X\r\nContent-Type: " + type + "\r\nContent-Length: " + body.length
                    + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
            return ByteBuffer.allocate(head.length + body.length).put(head).put(body).array();
        }
    }

    /** Serves one connection. */
    interface Server {
        void serve(Socket socket) throws IOException;
    }

    static void acceptAll(ServerSocket server, Server connection) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Thread.ofVirtual().start(() -> {
                    try (socket) {
                        connection.serve(socket);
                    } catch (IOException e) {
                        // The peer has closed the connection.
                    }
                });
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Answers a request that an engine runs. The request's body has not been read. */
    interface Handler {
        /** Returns whether the connection may be kept. */
        boolean answer(Engine engine, Socket socket, InputStream in, Http.Head request) throws IOException;
    }

    /** An engine of a plain service, which registers itself in the store. */
    final class Engine implements AutoCloseable {
        final String id;
        final String service;
        private final ServerSocket server;
        private final Handler handler;
        private final List<Socket> open = new ArrayList<>();
        private final long born = System.currentTimeMillis();
        private volatile boolean registered = true;
        private volatile boolean ended;
        final AtomicInteger running = new AtomicInteger();

        Engine(String id, String service, Handler handler) throws IOException {
            this.id = id;
            this.service = service;
            this.handler = handler;
            this.server = new ServerSocket(0, 256, loopback());
            Thread.ofVirtual().start(() -> acceptAll(server, this::serve));
            Thread.ofVirtual().start(this::beat);
            Harness.this.record(id + " registers");
        }

        private void beat() {
            while (registered) {
                if (!store.silent) {
                    register();
                }
                sleep(BEAT_MILLIS);
            }
        }

        private synchronized void register() {
            if (registered) {
                store.put("keyed.servers", id, ("{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:"
                        + server.getLocalPort() + "\",\"zone\":\"riga-a\",\"version\":\"v1\",\"slots\":6,"
                        + "\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":0,\"born\":" + born + "}")
                        .getBytes(StandardCharsets.UTF_8));
            }
        }

        /** Removes the entry of the engine without a report that it drains; returns when the store has accepted that. */
        synchronized long removeEntry() {
            registered = false;
            store.put("keyed.servers", id, new byte[0]);
            long acknowledged = now();
            Harness.this.record(id + " has left the list: the store has accepted the removal of its entry");
            return acknowledged;
        }

        private void serve(Socket socket) throws IOException {
            synchronized (open) {
                open.add(socket);
            }
            InputStream in = new BufferedInputStream(socket.getInputStream());
            boolean keep = true;
            while (keep && !ended) {
                Http.Head request = Http.readHead(in);
                if (request.start().startsWith("GET /health ")) {
                    socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nInstance-Id: " + id
                            + "\r\nInstance-Load: 0,0,6\r\nContent-Length: 0\r\n\r\n").getBytes());
                } else if (!request.headers().getOrDefault("expect-instance", id).equals(id)) {
                    Http.readBody(in, request);
                    socket.getOutputStream().write(("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: "
                            + request.header("request-id") + "\r\nInstance-Id: " + id
                            + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n").getBytes());
                } else {
                    keep = handler.answer(this, socket, in, request);
                }
            }
        }

        /** Returns the head of a success of this engine. */
        String head(Http.Head request, int length) {
            return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("request-id") + "\r\nServer-Seal: " + id + "."
                    + request.header("request-id") + "\r\nContent-Type: text/plain\r\nInstance-Load: " + running.get()
                    + ",0,6\r\n" + (length < 0 ? "Connection: close\r\n" : "Content-Length: " + length + "\r\n")
                    + "\r\n";
        }

        /** Ends the engine: its connections are closed, whatever it is running. */
        @Override
        public void close() throws IOException {
            ended = true;
            registered = false;
            server.close();
            synchronized (open) {
                for (Socket socket : open) {
                    socket.close();
                }
            }
            Harness.this.record(id + " has ended");
        }
    }
}
