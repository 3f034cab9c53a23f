import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** The open connections to the store go silent just after an engine has reported that it is leaving (rule DRAIN). */
public final class SilentStore {
    private static final int ENTRIES = 4;
    private static final int ENGINES = 4;
    private static final long DRAIN_MILLIS = 2_000; // bound drainMs
    private static final long CONTACT_MILLIS = 3_000; // bound contactMs
    private static final long SILENCE_AFTER_MILLIS = 10;
    private static final long END_MILLIS = 9_000;
    private static final String KEY = "key-of-the-only-tenant";
    private static final String CONFIGURATION =
            """
            {"version":1,"routes":[{"name":"balance","host":"silent.example","pathPrefix":"/balance/","kind":"safe",\
            "timeoutMs":1500,"aimMs":300,"priority":2,"service":"payments","maxAttempts":2,"public":false,\
            "sticky":false,"resumable":false}],"services":[{"name":"payments","healthPath":"/health","maxConns":110,\
            "protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,\
            "headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["%s"],"priority":1,\
            "unit":"token_rate","plainTokens":200,"ratePerS":0,"burst":0}]}"""
                    .formatted(KEY);

    private record Run(String engine, String request, long atMillis) {}

    private SilentStore() {}

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
        ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
        try (Store store = new Store(Entries.address(100))) {
            store.put("keyed.op", "config", CONFIGURATION);
            List<Engine> engines = new ArrayList<>();
            for (int number = 0; number < ENGINES; number++) {
                engines.add(new Engine(
                        "i-" + number,
                        "payments",
                        Entries.zone(number),
                        Entries.address(110),
                        store,
                        (engine, request) ->
                                runs.add(new Run(engine, request.header("request-id"), System.currentTimeMillis()))));
            }
            try (Entries entries = new Entries(ENTRIES, store.address());
                    Callers callers = new Callers("silent.example", KEY)) {
                entries.awaitReady(30_000);
                for (String entry : entries.callerAddresses()) {
                    for (int client = 0; client < 3; client++) {
                        callers.start(entry, "GET", "/balance/1", 60, () -> 0);
                    }
                }
                TimeUnit.MILLISECONDS.sleep(CONTACT_MILLIS + 3_000);
                Engine leaving = engines.getFirst();
                leaving.drain();
                long leavingAt = System.currentTimeMillis();
                TimeUnit.MILLISECONDS.sleep(SILENCE_AFTER_MILLIS);
                int silenced = trouble ? store.silenceConnections() : 0;
                long silentAt = System.currentTimeMillis();
                record.println("0 ms: the store accepts that " + leaving.id() + " is leaving; it serves on for a while");
                record.println((silentAt - leavingAt) + " ms: " + silenced + " open connections to the store go silent;"
                        + " new ones work");
                TimeUnit.MILLISECONDS.sleep(END_MILLIS);
                boolean allRan = entries.allRun();
                callers.close();
                Map<String, String> described = new java.util.HashMap<>();
                runs.forEach(run -> described.put(
                        run.request(), "run by " + run.engine() + " at " + (run.atMillis() - leavingAt) + " ms"));
                callers.write(record, leavingAt, described);
                return judge(runs, callers.calls(), leaving.id(), leavingAt, silentAt, allRan, record);
            }
        }
    }

    private static int judge(
            Iterable<Run> runs,
            Map<String, Callers.Call> calls,
            String leaving,
            long leavingAt,
            long silentAt,
            boolean allRan,
            PrintWriter record) {
        List<Run> sorted = new ArrayList<>();
        runs.forEach(sorted::add);
        sorted.sort(Comparator.comparingLong(Run::atMillis));
        int late = 0;
        int served = 0;
        for (Run run : sorted) {
            Callers.Call call = calls.get(run.request());
            served += call != null && call.status() == 200 ? 1 : 0;
            if (call == null || !run.engine().equals(leaving) || run.atMillis() < leavingAt) {
                continue;
            }
            boolean inTouch = call.sentAtMillis() >= silentAt + CONTACT_MILLIS;
            boolean broken = inTouch && run.atMillis() > leavingAt + DRAIN_MILLIS;
            late += broken ? 1 : 0;
            record.println("request " + run.request() + " to " + call.entry() + " sent at "
                    + (call.sentAtMillis() - leavingAt) + " ms, run by " + run.engine() + " at "
                    + (run.atMillis() - leavingAt) + " ms, answered " + call.status() + " at "
                    + (call.endedAtMillis() - leavingAt) + " ms" + (broken ? ": LATE" : ""));
        }
        record.println("requests sent " + calls.size() + ", runs " + sorted.size() + ", answered with 200 " + served
                + ", runs at the leaving engine after the bound, by entries in touch " + late);
        if (!allRan || served == 0) {
            record.println("an entry has ended, or nothing was served");
            return 2;
        }
        return late > 0 ? 1 : 0;
    }
}
