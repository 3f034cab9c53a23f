import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A configuration raises the limit on bodies while clients keep connections open (rule DENIED). */
public final class RaisedLimits {
    private static final int ENTRIES = 3;
    private static final int ENGINES = 3;
    private static final int CLIENTS = 8; // at each entry
    private static final long PERIOD_MILLIS = 400;
    private static final int FIRST_LIMIT = 262_144;
    private static final int RAISED_LIMIT = 4_194_304;
    private static final int FIRST_BODY = 100_000;
    private static final int LATER_BODY = 600_000;
    private static final long APPLY_MILLIS = 2_000; // bound configApplyMs
    private static final long CONTACT_MILLIS = 3_000; // bound contactMs
    private static final int DENIALS_ALLOWED = 5; // and one in 500 of all requests
    private static final int REQUESTS_PER_DENIAL = 500;
    private static final String KEY = "key-of-the-only-tenant";

    private RaisedLimits() {}

    private static String configuration(int version, int bodyBytes) {
        return """
                {"version":%d,"routes":[{"name":"fee","host":"limits.example","pathPrefix":"/fee/","kind":"unsafe",\
                "timeoutMs":1500,"aimMs":300,"priority":2,"service":"payments","maxAttempts":1,"public":false,\
                "sticky":false,"resumable":false}],"services":[{"name":"payments","healthPath":"/health",\
                "maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":%d,\
                "headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["%s"],"priority":1,\
                "unit":"token_rate","plainTokens":200,"ratePerS":0,"burst":0}]}"""
                .formatted(version, bodyBytes, KEY);
    }

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
        AtomicInteger bodyBytes = new AtomicInteger(FIRST_BODY);
        try (Store store = new Store("127.0.7.100")) {
            store.put("keyed.op", "config", configuration(1, trouble ? FIRST_LIMIT : RAISED_LIMIT));
            for (int number = 0; number < ENGINES; number++) {
                new Engine(
                        "i-" + number,
                        "payments",
                        Entries.zone(number),
                        "127.0.7.110",
                        store,
                        (engine, request) -> runs.putIfAbsent(request.header("request-id"), System.currentTimeMillis()));
            }
            try (Entries entries = new Entries(ENTRIES, store.address());
                    Callers callers = new Callers("limits.example", KEY)) {
                entries.awaitReady(30_000);
                TimeUnit.MILLISECONDS.sleep(1_000);
                for (String entry : entries.callerAddresses()) {
                    for (int client = 0; client < CLIENTS; client++) {
                        callers.start(entry, "POST", "/fee/1", PERIOD_MILLIS, bodyBytes::get);
                    }
                }
                long startedAt = System.currentTimeMillis();
                TimeUnit.MILLISECONDS.sleep(CONTACT_MILLIS + 4_000);
                if (trouble) {
                    store.put("keyed.op", "config", configuration(2, RAISED_LIMIT));
                }
                long changedAt = System.currentTimeMillis();
                record.println((changedAt - startedAt) + " ms: "
                        + (trouble ? "the store accepts version 2 with maxBodyBytes " + RAISED_LIMIT : "no change"));
                TimeUnit.MILLISECONDS.sleep(APPLY_MILLIS + CONTACT_MILLIS);
                bodyBytes.set(LATER_BODY);
                record.println((System.currentTimeMillis() - startedAt) + " ms: clients send bodies of " + LATER_BODY
                        + " bytes instead of " + FIRST_BODY);
                TimeUnit.MILLISECONDS.sleep(8_000);
                boolean allRan = entries.allRun();
                callers.close();
                return judge(callers.calls(), runs, startedAt, changedAt, allRan, record);
            }
        }
    }

    private static int judge(
            Map<String, Callers.Call> calls,
            Map<String, Long> runs,
            long startedAt,
            long changedAt,
            boolean allRan,
            PrintWriter record) {
        long denied = 0;
        long served = 0;
        for (Callers.Call call : calls.values()) {
            int status = call.status();
            boolean ownDenial = !call.sealed() && status >= 300 && status < 500;
            boolean excused = status == 408 || status == 421 || status == 429;
            boolean counts = ownDenial && !excused && call.sentAtMillis() >= changedAt + APPLY_MILLIS;
            denied += counts ? 1 : 0;
            served += status == 200 ? 1 : 0;
            if (ownDenial) {
                record.println("request " + call.id() + " to " + call.entry() + " sent at "
                        + (call.sentAtMillis() - startedAt) + " ms: answered " + status + ", "
                        + (runs.containsKey(call.id()) ? "run" : "not run") + (counts ? ": DENIED" : ""));
            }
        }
        double allowed = DENIALS_ALLOWED + calls.size() / (double) REQUESTS_PER_DENIAL;
        record.println("requests sent " + calls.size() + ", answered with 200 " + served + ", denied " + denied
                + ", allowed " + allowed);
        if (!allRan || served == 0) {
            record.println("an entry has ended, or nothing was served");
            return 2;
        }
        return denied > allowed ? 1 : 0;
    }
}
