import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** The open connections that one entry has to the others go silent (rule QUOTA). */
public final class HalfSilentPeers {
    private static final int ENTRIES = 3;
    private static final int ENGINES = 4;
    private static final long USUAL_PERIOD_MILLIS = 36; // at each entry; together the rate divided by 1.8
    private static final int FURTHER_USERS = 5; // groups at each entry while the tenant is hot
    private static final long FURTHER_PERIOD_MILLIS = 28; // together with the usual ones 7.5 times the usual load
    private static final int PLAIN_TOKENS = 200;
    private static final int RATE = 30_000; // tokens a second
    private static final int BURST = 30_000;
    private static final long WINDOW_MILLIS = 8_000; // bound quotaWindowS
    private static final double OVERSHOOT = 0.1; // bound quotaOvershoot
    private static final double SLACK = 17_000; // bound quotaSlack
    private static final long STEADY_MILLIS = 10_000;
    private static final long SILENT_MILLIS = 5_000;
    private static final long HOT_MILLIS = 6_500; // for_s of hot_tenant
    private static final String KEY = "key-of-the-hot-tenant";
    private static final String CONFIGURATION =
            """
            {"version":1,"routes":[{"name":"balance","host":"quota.example","pathPrefix":"/balance/","kind":"safe",\
            "timeoutMs":1500,"aimMs":300,"priority":2,"service":"payments","maxAttempts":2,"public":false,\
            "sticky":false,"resumable":false}],"services":[{"name":"payments","healthPath":"/health","maxConns":110,\
            "protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,\
            "headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["%s"],"priority":1,\
            "unit":"token_rate","plainTokens":%d,"ratePerS":%d,"burst":%d}]}"""
                    .formatted(KEY, PLAIN_TOKENS, RATE, BURST);

    /** A request that was run. */
    private record Run(long sentAtMillis, long ranAtMillis) {}

    private HalfSilentPeers() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (PrintWriter record = new PrintWriter(Path.of(arguments[0], "record.txt").toFile())) {
            try {
                status = run(trouble, record);
            } catch (Exception e) {
                record.println("the case could not run: " + e);
            }
            record.println("exit " + status);
        }
        System.exit(status);
    }

    private static int run(boolean trouble, PrintWriter record) throws Exception {
        Map<String, Long> runs = new ConcurrentHashMap<>();
        List<Proxy> proxies = new ArrayList<>();
        Map<String, String> translations = new ConcurrentHashMap<>();
        try (Store store = new Store(Entries.address(100))) {
            store.put("keyed.op", "config", CONFIGURATION);
            for (int number = 0; number < ENGINES; number++) {
                new Engine(
                        "i-" + number,
                        "payments",
                        Entries.zone(number),
                        Entries.address(110),
                        store,
                        (engine, request) -> runs.putIfAbsent(request.header("request-id"), System.currentTimeMillis()));
            }
            Entries.PeerAddressListener proxied = address -> {
                int colon = address.indexOf(':');
                int number = address.charAt(colon - 1) - '0';
                String seenAs = Entries.address(number + ENTRIES) + address.substring(colon);
                translations.put(address, seenAs);
                store.translate(address, seenAs);
                proxies.add(new Proxy(seenAs.substring(0, seenAs.indexOf(':')), address, translations));
            };
            try (Entries entries = new Entries(ENTRIES, store.address(), proxied);
                    Callers callers = new Callers("quota.example", KEY)) {
                entries.awaitReady(30_000);
                for (String entry : entries.callerAddresses()) {
                    callers.startUsers(entry, "GET", "/balance/1", USUAL_PERIOD_MILLIS, () -> 0, Map::of);
                }
                long startedAt = System.currentTimeMillis();
                TimeUnit.MILLISECONDS.sleep(STEADY_MILLIS);
                int silenced = 0;
                String silent = entries.names().getFirst();
                for (Proxy proxy : proxies) {
                    silenced += trouble ? proxy.silenceConnectionsOf(silent, entries.names()) : 0;
                }
                long silentAt = System.currentTimeMillis();
                record.println((silentAt - startedAt) + " ms: " + silenced + " open connections from " + silent
                        + " to the other entries go silent; new ones work");
                TimeUnit.MILLISECONDS.sleep(SILENT_MILLIS);
                record.println((System.currentTimeMillis() - startedAt) + " ms: the tenant sends 7.5 times its usual, for "
                        + HOT_MILLIS + " ms");
                for (String entry : entries.callerAddresses()) {
                    for (int users = 0; users < FURTHER_USERS; users++) {
                        callers.startUsers(entry, "GET", "/balance/1", FURTHER_PERIOD_MILLIS, () -> 0, Map::of);
                    }
                }
                TimeUnit.MILLISECONDS.sleep(HOT_MILLIS);
                boolean allRan = entries.allRun();
                callers.close();
                Map<String, String> described = new java.util.HashMap<>();
                runs.forEach((id, ranAt) -> described.put(id, "run at " + (ranAt - startedAt) + " ms"));
                callers.write(record, startedAt, described);
                if (!allRan || trouble && silenced == 0) {
                    record.println("an entry has ended, or no connection was found");
                    return 2;
                }
                return judge(runs, callers.calls(), startedAt, record);
            }
        }
    }

    private static int judge(
            Map<String, Long> runs, Map<String, Callers.Call> calls, long startedAt, PrintWriter record) {
        double allowed = (RATE * WINDOW_MILLIS / 1_000.0 + BURST) * (1 + OVERSHOOT) + SLACK;
        List<Run> sorted = new ArrayList<>();
        runs.forEach((id, ranAt) -> {
            if (calls.containsKey(id)) {
                sorted.add(new Run(calls.get(id).sentAtMillis(), ranAt));
            }
        });
        sorted.sort(Comparator.comparingLong(Run::sentAtMillis));
        long highest = 0;
        long highestAt = 0;
        long broken = 0;
        for (long from = startedAt; from + WINDOW_MILLIS <= startedAt + STEADY_MILLIS + SILENT_MILLIS + HOT_MILLIS + 1_000; from += 100) {
            long start = from;
            long tokens = PLAIN_TOKENS
                    * sorted.stream()
                            .filter(run -> run.sentAtMillis() >= start && run.ranAtMillis() < start + WINDOW_MILLIS)
                            .count();
            if ((from - startedAt) % 1_000 == 0) {
                record.println("from " + (from - startedAt) + " ms: " + tokens + " tokens sent and run in "
                        + WINDOW_MILLIS + " ms, allowed " + Math.round(allowed));
            }
            broken += tokens > allowed ? 1 : 0;
            highestAt = tokens > highest ? from - startedAt : highestAt;
            highest = Math.max(highest, tokens);
        }
        record.println("requests sent " + calls.size() + ", run " + sorted.size() + "; most tokens in a window "
                + highest + " from " + highestAt + " ms, allowed " + Math.round(allowed));
        for (String entry : new java.util.TreeSet<>(calls.values().stream().map(Callers.Call::entry).toList())) {
            record.println("answers of " + entry + " by status: "
                    + calls.values().stream()
                            .filter(call -> call.entry().equals(entry))
                            .collect(java.util.stream.Collectors.groupingBy(
                                    Callers.Call::status, java.util.TreeMap::new, java.util.stream.Collectors.counting())));
        }
        return broken > 0 ? 1 : 0;
    }
}
