import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/** All processes are killed right after a configuration that puts one model in the place of another (rule RECOVER). */
public final class RetiredModel {
    private static final int ENTRIES = 3;
    private static final int GROUPS = 5; // of users at each entry; four of them ask for the model that is replaced
    private static final long PERIOD_MILLIS = 400;
    private static final long STEADY_MILLIS = 8_000;
    private static final long DOWN_MILLIS = 1_300; // as the final fault of a standard day
    private static final long RECOVERY_MILLIS = 12_000; // bound recoveryS
    private static final long AFTER_MILLIS = 10_000;
    private static final double LEAST_SHARE = 0.25;
    private static final String KEY = "key-of-the-only-tenant";
    private static final String RETIRED = "model-b1";
    private static final String SUCCESSOR = "model-b2";
    private static final String OTHER = "model-a";

    private RetiredModel() {}

    private static String configuration(int version, String... models) {
        String list = List.of(models).stream()
                .map(model -> "{\"name\":\"" + model + "\",\"weightsMb\":90000.0,\"loadTimeS\":1.2,\"adapters\":0,"
                        + "\"adapterMb\":40.0,\"warmS\":0.42,\"diskS\":0.55}")
                .collect(Collectors.joining(","));
        return """
                {"version":%d,"routes":[{"name":"explain","host":"models.example","pathPrefix":"/explain/",\
                "kind":"streaming","timeoutMs":4000,"aimMs":600,"priority":1,"service":"llm","maxAttempts":1,\
                "public":false,"sticky":true,"resumable":false,"gapTargetMs":200}],"services":[{"name":"llm",\
                "healthPath":"/health","maxConns":370,"protocol":"h1","tls":false,"engine":{"slots":64,\
                "kvCapacity":165614,"kvTokenBytes":327680,"linkMbps":740000.0,"stride":2,"models":[%s],\
                "weightsMb":200000.0,"adapterSlots":8,"loadsPerS":2.4}}],"limits":{"maxHeaderBytes":16384,\
                "maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1",\
                "apiKeys":["%s"],"priority":1,"unit":"token_rate","plainTokens":200,"ratePerS":0,"burst":0}]}"""
                .formatted(version, list, KEY);
    }

    public static void main(String[] arguments) throws Exception {
        String trouble = System.getenv().getOrDefault("TROUBLE", "1");
        int status = 2;
        try (PrintWriter record = new PrintWriter(Path.of(arguments[0], "record.txt").toFile())) {
            try {
                status = run(!trouble.equals("0"), trouble.equals("kill"), record);
            } catch (Exception e) {
                record.println("the case could not run: " + e);
            }
            record.println("exit " + status);
        }
        System.exit(status);
    }

    /** Runs the case. With {@code onlyKill} the processes are killed without a change of the configuration. */
    private static int run(boolean trouble, boolean onlyKill, PrintWriter record) throws Exception {
        long startedAt = System.currentTimeMillis();
        ConcurrentLinkedQueue<String> orders = new ConcurrentLinkedQueue<>();
        BiConsumer<String, String> onOrder = (engine, order) ->
                orders.add((System.currentTimeMillis() - startedAt) + " ms: " + engine + " accepts " + order);
        Map<String, String> runs = new ConcurrentHashMap<>();
        BiConsumer<String, String> onRun = (engine, request) -> runs.merge(
                request,
                "run by " + engine + " at " + (System.currentTimeMillis() - startedAt) + " ms",
                (first, second) -> first + " and " + second);
        try (Store store = new Store(Entries.address(100))) {
            store.put("keyed.op", "config", configuration(1, OTHER, RETIRED, "model-c", "model-d"));
            new ModelEngine("e-1", "llm", "zone-a", Entries.address(110), Set.of(OTHER, RETIRED), store, onOrder, onRun);
            new ModelEngine("e-2", "llm", "zone-b", Entries.address(110), Set.of("model-c", "model-d"), store, onOrder, onRun);
            try (Entries entries = new Entries(ENTRIES, store.address());
                    Callers callers = new Callers("models.example", KEY)) {
                entries.awaitReady(30_000);
                String[] asked = {RETIRED};
                for (String entry : entries.callerAddresses()) {
                    for (int group = 0; group < GROUPS; group++) {
                        boolean other = group == 0;
                        Supplier<Map<String, String>> headers = () -> Map.of(
                                "Model", other ? OTHER : asked[0], "Token-Count", "800,20", "Prompt-Prefix", "5c1:800");
                        callers.startUsers(entry, "POST", "/explain/1", PERIOD_MILLIS, () -> 200, headers);
                    }
                }
                TimeUnit.MILLISECONDS.sleep(STEADY_MILLIS);
                long faultAt = System.currentTimeMillis();
                if (trouble) {
                    if (!onlyKill) {
                        store.put("keyed.op", "config", configuration(2, OTHER, SUCCESSOR, "model-c", "model-d"));
                        asked[0] = SUCCESSOR;
                        record.println((faultAt - startedAt) + " ms: the store accepts version 2, which has " + SUCCESSOR
                                + " in the place of " + RETIRED + "; its clients ask for " + SUCCESSOR);
                    }
                    record.println((faultAt - startedAt) + " ms: all entries are killed, for " + DOWN_MILLIS + " ms");
                    entries.killAll(DOWN_MILLIS);
                }
                entries.awaitReady(10_000);
                long backAt = System.currentTimeMillis();
                record.println((backAt - startedAt) + " ms: all entries are ready");
                TimeUnit.MILLISECONDS.sleep(RECOVERY_MILLIS + AFTER_MILLIS);
                boolean allRan = entries.allRun();
                callers.close();
                orders.forEach(record::println);
                callers.write(record, startedAt, runs);
                return judge(callers.calls(), startedAt, faultAt, backAt + RECOVERY_MILLIS, allRan, record);
            }
        }
    }

    private static int judge(
            Map<String, Callers.Call> calls, long startedAt, long faultAt, long judgedFrom, boolean allRan, PrintWriter record) {
        double before = share(calls, startedAt, faultAt, "before", record);
        double after = share(calls, judgedFrom, Long.MAX_VALUE, "later than recoveryS after the entries were back", record);
        if (!allRan || before < LEAST_SHARE) {
            record.println("an entry has ended by itself, or too little was served before");
            return 2;
        }
        return after < LEAST_SHARE ? 1 : 0;
    }

    private static double share(
            Map<String, Callers.Call> calls, long from, long until, String when, PrintWriter record) {
        List<Callers.Call> sent = calls.values().stream()
                .filter(call -> call.sentAtMillis() >= from && call.sentAtMillis() < until)
                .toList();
        long served = sent.stream().filter(call -> call.status() == 200).count();
        record.println("requests sent " + when + ": " + sent.size() + ", served " + served + ", by status "
                + sent.stream()
                        .collect(Collectors.groupingBy(
                                Callers.Call::status, java.util.TreeMap::new, Collectors.counting())));
        return sent.isEmpty() ? 0 : served / (double) sent.size();
    }
}
