import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The entries under test: processes with the command of the deploy file, each on a loopback address of its own. */
final class Entries implements AutoCloseable {
    private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

    /** Loopback network of this run, so that runs beside each other don't draw the same ports. */
    private static final String NETWORK = network(ProcessHandle.current().pid());

    private final Path folder = Files.createTempDirectory("review-2-");
    private final List<Process> processes = new ArrayList<>();
    private final List<ProcessBuilder> commands = new ArrayList<>();
    private final List<String> callerAddresses = new ArrayList<>();
    private final List<String> readyAddresses = new ArrayList<>();
    private final List<String> names = new ArrayList<>();
    private final String storeAddress;
    private final PeerAddressListener onPeerAddress;

    /** Learns the address for the traffic between entries before the entry starts. */
    interface PeerAddressListener {
        void entryStarts(String address) throws IOException;
    }

    Entries(int count, String storeAddress) throws IOException {
        this(count, storeAddress, address -> {});
    }

    Entries(int count, String storeAddress, PeerAddressListener onPeerAddress) throws IOException {
        this.storeAddress = storeAddress;
        this.onPeerAddress = onPeerAddress;
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
        for (int number = 1; number <= count; number++) {
            start(number);
        }
    }

    /** Returns an address of this run's network. */
    static String address(int number) {
        return NETWORK + number;
    }

    private static String network(long pid) {
        return "127." + (10 + pid / 200 % 200) + "." + (10 + pid % 200) + ".";
    }

    static String zone(int number) {
        return ZONES.get(number % ZONES.size());
    }

    List<String> names() {
        return names;
    }

    List<String> callerAddresses() {
        return callerAddresses;
    }

    /** Waits until every entry says that it is ready. */
    void awaitReady(long limitMillis) throws Exception {
        long until = System.currentTimeMillis() + limitMillis;
        for (String address : readyAddresses) {
            while (!isReady(address)) {
                if (System.currentTimeMillis() > until || !allRun()) {
                    throw new IOException("entry at " + address + " is not ready, all run: " + allRun());
                }
                Thread.sleep(100);
            }
        }
    }

    /** Kills all entries at once and starts them again at the same addresses. */
    void killAll(long downMillis) throws Exception {
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            process.waitFor();
        }
        TimeUnit.MILLISECONDS.sleep(downMillis);
        for (int index = 0; index < commands.size(); index++) {
            Path settings = folder.resolve(names.get(index) + ".toml");
            Files.writeString(settings, Files.readString(settings).replace("firstStart = true", "firstStart = false"));
            ProcessBuilder again = commands.get(index);
            Path log = folder.resolve(names.get(index) + "-again.log");
            processes.set(index, again.redirectOutput(log.toFile()).start());
        }
    }

    boolean allRun() {
        return processes.stream().allMatch(Process::isAlive);
    }

    private static boolean isReady(String address) {
        try (Http.Client client = new Http.Client(address, 500, 500)) {
            return client.send("GET", "/v1/readiness", Map.of("Host", "ready"), new byte[0]).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private void start(int number) throws IOException {
        String ip = address(number);
        int[] ports = freePorts(ip, 4);
        String name = "front-" + zone(number) + "-" + number;
        Path settings = folder.resolve(name + ".toml");
        String zones = ZONES.stream().map(zone -> zone + " = \"here\"\n").collect(Collectors.joining());
        Files.writeString(
                settings,
                """
                nodeName = "%s"
                role = "entry"
                machineClass = "front"
                serves = ["front", "directory"]
                ip = "%s"
                zone = "%s"
                region = "here"
                portRange = [%d, %d]
                seeds = []
                firstStart = true
                heartbeatMs = 1200
                [zones]
                %s[listen]
                front = "%s:%d"
                ready = "%s:%d"
                directory = "%s:%d"
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
                address = "%s"
                form = "log"
                writesPerS = 400
                readsPerS = 2000
                parts = 12
                appendMs = 2.0
                recordBytes = 262144
                callBytes = 2097152
                keep_s = 300
                ttlMinMs = 1000
                """
                        .formatted(
                                name,
                                ip,
                                zone(number),
                                ports[0],
                                ports[0],
                                zones,
                                ip,
                                ports[1],
                                ip,
                                ports[2],
                                ip,
                                ports[3],
                                storeAddress));
        onPeerAddress.entryStarts(ip + ":" + ports[0]);
        List<String> command = deployCommand();
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("JACKDAWBEAM_NODE_FILE", settings.toString());
        builder.environment().put("JACKDAWBEAM_METRICS_PORT", "0");
        builder.redirectErrorStream(true).redirectOutput(folder.resolve(name + ".log").toFile());
        commands.add(builder);
        processes.add(builder.start());
        names.add(name);
        callerAddresses.add(ip + ":" + ports[1]);
        readyAddresses.add(ip + ":" + ports[2]);
    }

    /** Returns the command of the role in the deploy file. */
    private static List<String> deployCommand() throws IOException {
        try (Stream<String> lines = Files.lines(Path.of("deploy/system.toml"))) {
            String line = lines.filter(text -> text.startsWith("run = ")).findFirst().orElseThrow();
            return Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
        }
    }

    private static int[] freePorts(String ip, int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[count];
        for (int index = 0; index < count; index++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip));
            sockets.add(socket);
            ports[index] = socket.getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    Path folder() {
        return folder;
    }

    @Override
    public void close() {
        processes.forEach(Process::destroy);
        for (Process process : processes) {
            try {
                if (!process.waitFor(10, TimeUnit.SECONDS)) {
                    process.destroyForcibly().waitFor();
                }
            } catch (InterruptedException e) {
                process.destroyForcibly();
            }
        }
        if (System.getenv("KEEP_LOGS") == null) {
            for (java.io.File file : folder.toFile().listFiles()) {
                file.delete();
            }
            folder.toFile().delete();
        }
    }
}
