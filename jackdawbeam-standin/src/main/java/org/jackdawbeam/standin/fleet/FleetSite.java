package org.jackdawbeam.standin.fleet;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.http.HttpExchange;
import org.jackdawbeam.standin.StandInServer;

/** Emulated surroundings of entries: a store, three model engines, two plain services and a configuration. */
public final class FleetSite implements AutoCloseable {
    /** Host name of all routes. */
    public static final String HOST = "127.0.0.1";
    /** Key of the workspace whose rate is far above its load. */
    public static final String KEY = "quickstart-key";
    /** Key of the workspace with a low rate. */
    public static final String SMALL_KEY = "small-key";
    /** Rate in units per second, and burst, of the workspace with a low rate. */
    public static final int SMALL_UNITS_PER_SECOND = 2_000;

    private static final String OPERATOR_TOPIC = "keyed.op";
    private static final String SERVERS_TOPIC = "keyed.servers";
    private static final byte[] NO_VALUE = new byte[0];
    private static final String LOOPBACK = "127.0.0.1";
    private static final String UNUSED_ADDRESS = "127.0.0.1:1"; // no process listens on this port
    private static final long REGISTRATION_INTERVAL_MILLIS = 250;
    private static final long REGISTRATION_EXPIRY_MILLIS = 3 * REGISTRATION_INTERVAL_MILLIS; // as the store does
    private static final int THREADS = 2;

    private static final long PROMPT_CRASH_RESTART_MILLIS = 500;

    private final List<StandInServer> servers = new CopyOnWriteArrayList<>();
    private final List<TargetStandIn> targets = new CopyOnWriteArrayList<>();
    private final Map<Integer, Long> crashedAtMillis = new ConcurrentHashMap<>();
    private final Map<Integer, String> advertisedAddresses = new ConcurrentHashMap<>();
    private final TargetLedger ledger = new TargetLedger();
    private final AtomicInteger promptCrashes = new AtomicInteger();
    private volatile Optional<String> crashingPart = Optional.empty();
    private final LogStoreStandIn store;
    private final StandInServer storeServer;

    public FleetSite(int storePort) {
        StoreHolder holder = new StoreHolder();
        this.storeServer = new StandInServer(new InetSocketAddress(LOOPBACK, storePort), THREADS, holder::handle);
        this.store = new LogStoreStandIn(storeServer.group());
        holder.store = store;
        addTarget("engine-1", "engines", Set.of("small", "large"), true);
        addTarget("engine-2", "engines", Set.of("small"), true);
        addTarget("engine-3", "engines", Set.of("large"), true);
        addTarget("service-1", "payments", Set.of(), false);
        addTarget("service-2", "payments", Set.of(), false);
        configure(1, Set.of(KEY));
        storeServer
                .group()
                .scheduleAtFixedRate(
                        this::publishRegistrations, 0, REGISTRATION_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Delegates to the store, which is created after its server because it uses the timers of the server. */
    private static final class StoreHolder {
        private volatile LogStoreStandIn store;

        private void handle(HttpExchange exchange) {
            if (store == null) {
                exchange.abort();
            } else {
                store.handle(exchange);
            }
        }
    }

    /** Returns the store. */
    public LogStoreStandIn store() {
        return store;
    }

    /** Deletes the history of the operator and target topics; the newest record of each key remains. */
    public void forgetHistory() {
        store.forgetHistory(OPERATOR_TOPIC);
        store.forgetHistory(SERVERS_TOPIC);
    }

    /** Returns the port of the store. */
    public int storePort() {
        return storeServer.port();
    }

    /** Returns the record of requests and orders that the targets executed. */
    public TargetLedger ledger() {
        return ledger;
    }

    /** Returns the targets, engines first. */
    public List<TargetStandIn> targets() {
        return List.copyOf(targets);
    }

    /** Returns the address that a target listens on. */
    public String address(int number) {
        return LOOPBACK + ":" + servers.get(number).port();
    }

    /** Registers a target under another address, such as that of a proxy. */
    public void advertise(int number, String address) {
        advertisedAddresses.put(number, address);
    }

    /** Stops a target without an announcement. */
    public void crash(int number) {
        if (crashedAtMillis.putIfAbsent(number, System.currentTimeMillis()) == null) {
            servers.get(number).close();
        }
    }

    /**
     * Makes engines crash that begin to answer a prompt with the given part before its last one. They start again with
     * the same models.
     *
     * @param part id of the part as in the prompt header; empty to answer all prompts again
     */
    public void crashAtPart(Optional<String> part) {
        crashingPart = part;
        for (int number = 0; number < targets.size(); number++) {
            crashAtPart(number);
        }
    }

    /** Returns how often an engine has crashed under a prompt. */
    public int promptCrashes() {
        return promptCrashes.get();
    }

    private void crashAtPart(int number) {
        TargetStandIn target = targets.get(number);
        crashingPart.ifPresentOrElse(
                part -> target.crashAt(part, () -> crashUnderPrompt(number)), target::crashAtNothing);
    }

    private void crashUnderPrompt(int number) {
        Set<String> models = targets.get(number).modelNames();
        promptCrashes.incrementAndGet();
        crash(number);
        storeServer.group().schedule(() -> restart(number, models), PROMPT_CRASH_RESTART_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Restarts a target under a new id, with the given models loaded. */
    public void restart(int number, Set<String> models) {
        crash(number);
        TargetStandIn before = targets.get(number);
        store.put(SERVERS_TOPIC, before.id(), NO_VALUE);
        TargetStandIn target = before.restarted(models);
        servers.set(number, new StandInServer(new InetSocketAddress(LOOPBACK, 0), THREADS, target));
        targets.set(number, target);
        crashAtPart(number);
        crashedAtMillis.remove(number);
    }

    /**
     * Publishes a configuration.
     *
     * @param keys valid keys of the workspace whose rate is far above its load
     */
    public void configure(long version, Set<String> keys) {
        store.put(OPERATOR_TOPIC, "config", configuration(version, keys).getBytes(StandardCharsets.UTF_8));
    }

    /** Announces unresponsive members after a delay, so that entries act as in a large fleet. */
    void announceSilentMembers(int count, String topic, int afterSeconds) {
        storeServer
                .group()
                .schedule(
                        () -> {
                            for (int number = 0; number < count; number++) {
                                String id = "silent-" + number;
                                FleetMember member =
                                        new FleetMember(id, id + "/1", "zone-2", UNUSED_ADDRESS, UNUSED_ADDRESS, 1);
                                store.put(topic, id, MessageMapper.json().write(member));
                            }
                        },
                        afterSeconds,
                        TimeUnit.SECONDS);
    }

    /** Returns the settings of an entry that uses five consecutive ports from the given one. */
    public String settings(String name, int port) {
        return settings(name, port, LOOPBACK + ":" + storePort());
    }

    /** Returns the settings of an entry that connects to the store at the given address. */
    public String settings(String name, int port, String storeAddress) {
        return """
                nodeName = "%s"
                ip = "127.0.0.1"
                zone = "zone-1"
                portRange = [%d, %d]
                [listen]
                directory = "127.0.0.1:%d"
                ready = "127.0.0.1:%d"
                front = "127.0.0.1:%d"
                [limits]
                linkMbps = 1000.0
                [bounds]
                revokeMs = 5000
                leaseMs = 3000
                fenceChecked = true
                graceS = 8
                retryBudgetRatio = 0.2
                retrySlack = 56
                budgetWindowS = 10
                ceilingWindowS = 5
                ttl_max_s = 5
                [platform]
                address = "%s"
                """.formatted(name, port, port + 1, port + 2, port + 3, port + 4, storeAddress);
    }

    @Override
    public void close() {
        for (int number = 0; number < servers.size(); number++) {
            if (!crashedAtMillis.containsKey(number)) {
                servers.get(number).close();
            }
        }
        storeServer.close();
    }

    private void addTarget(String id, String service, Set<String> models, boolean engine) {
        TargetStandIn target = new TargetStandIn(id, service, "zone-1", models, engine, ledger, storeServer.group());
        servers.add(new StandInServer(new InetSocketAddress(LOOPBACK, 0), THREADS, target));
        targets.add(target);
    }

    private void publishRegistrations() {
        for (int number = 0; number < targets.size(); number++) {
            TargetStandIn target = targets.get(number);
            Long crashedAt = crashedAtMillis.get(number);
            if (crashedAt == null) {
                String address = advertisedAddresses.getOrDefault(number, address(number));
                store.put(SERVERS_TOPIC, target.id(), target.registration(address));
            } else if (System.currentTimeMillis() - crashedAt > REGISTRATION_EXPIRY_MILLIS) {
                store.put(SERVERS_TOPIC, target.id(), NO_VALUE);
            }
        }
    }

    private static String configuration(long version, Set<String> keys) {
        return """
                {"version":%d,"routes":[%s,%s,%s,%s],
                 "services":[{"name":"engines","healthPath":"/health","maxConns":300,"engine":{"slots":64,
                   "kvCapacity":160000,"weightsMb":200000.0,"adapterSlots":2,"loadsPerS":2.0,"models":[
                   {"name":"small","weightsMb":40000.0,"loadTimeS":0.3,"adapters":4,"adapterMb":40.0},
                   {"name":"large","weightsMb":70000.0,"loadTimeS":0.3,"adapters":4,"adapterMb":60.0},
                   {"name":"rare","weightsMb":70000.0,"loadTimeS":0.3,"adapters":0,"adapterMb":60.0}]}},
                  {"name":"payments","healthPath":"/health","maxConns":100}],
                 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
                 "tenants":[%s,%s]}""".formatted(
                        version,
                        route("chat", "streaming", false, "engines"),
                        route("letter", "streaming", true, "engines"),
                        route("pay", "unsafe", false, "payments"),
                        route("read", "safe", false, "payments"),
                        workspace("household", keys, 100_000),
                        workspace("small", Set.of(SMALL_KEY), SMALL_UNITS_PER_SECOND));
    }

    private static String workspace(String name, Set<String> keys, int units) {
        String quoted = keys.stream().map(key -> '"' + key + '"').collect(Collectors.joining(","));
        String workspace = """
                {"name":"%s","apiKeys":[%s],"unit":"token_rate","plainTokens":200,"ratePerS":%d,"burst":%d}""";
        return workspace.formatted(name, quoted, units, units);
    }

    private static String route(String name, String kind, boolean resumable, String service) {
        String route = """
                {"name":"%s","host":"%s","pathPrefix":"/%s/","kind":"%s","timeoutMs":5000,"aimMs":600,"priority":1,
                 "maxAttempts":2,"public":false,"resumable":%s,"service":"%s"}""";
        return route.formatted(name, HOST, name, kind, resumable, service);
    }
}
