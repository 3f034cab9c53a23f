import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The settings of machines change while their processes start: each gets SIGHUP. A process that ends by itself is started
 * again after a short delay, as the platform does, and the settings change once more, three times in all.
 */
final class SignalledStart {
    private static final String SERVICE = "wuno96b";
    private static final int ENTRIES = 8;
    private static final int SIGNALLED = 4; // share of hup: 0.6 of the machines at most
    private static final int CHANGES = 3;
    private static final long SIGNAL_AFTER_START_MILLIS = 100;
    private static final long RESTART_DELAY_MILLIS = 1_000;

    public static void main(String[] arguments) {
        Harness.run(arguments[0], SignalledStart::run);
    }

    private static int run(Harness harness) throws Exception {
        if (isHangupIgnored()) {
            harness.record("SIGHUP is ignored here, as below nohup, so that processes never get it");
            return Harness.NOT_RUN;
        }
        harness.configure(SERVICE, Harness.route("/puxa403/", "unsafe", 3_000, 1, SERVICE, false));
        List<Harness.Entry> entries = new ArrayList<>();
        for (int number = 1; number <= ENTRIES; number++) {
            entries.add(harness.startEntry("front-riga-a-" + number));
            if (number <= SIGNALLED) {
                Harness.sleep(SIGNAL_AFTER_START_MILLIS);
                change(harness, entries.get(number - 1));
            }
        }
        int machines = 0;
        AtomicInteger ends = new AtomicInteger();
        for (Harness.Entry entry : entries) {
            int ended = 0;
            for (int change = 1; change <= CHANGES && !survives(entry); change++) {
                ended++;
                ends.incrementAndGet();
                harness.record(entry.name + " has ended by itself with status " + entry.awaitEnd() + ", " + ended + " times");
                Harness.sleep(RESTART_DELAY_MILLIS);
                entry.start();
                if (change < CHANGES) {
                    Harness.sleep(SIGNAL_AFTER_START_MILLIS);
                    change(harness, entry);
                }
            }
            machines += ended >= CHANGES ? 1 : 0;
        }
        harness.awaitReady();
        String summary = "processes that ended by themselves " + ends + ", machines with three of them " + machines;
        harness.record(summary);
        System.out.println(summary);
        // Fault: on a tenth of the machines in use (two at least) processes end by themselves three times.
        return machines >= 2 ? Harness.BROKEN : Harness.HELD;
    }

    private static boolean isHangupIgnored() throws IOException {
        return Files.readAllLines(Path.of("/proc/self/status")).stream()
                .filter(line -> line.startsWith("SigIgn:"))
                .anyMatch(line -> (Long.parseUnsignedLong(line.substring(7).trim(), 16) & 1) != 0);
    }

    private static void change(Harness harness, Harness.Entry entry) throws Exception {
        harness.record("the settings file of " + entry.name + " changes");
        if (Harness.TROUBLE) {
            entry.signal("HUP");
        }
    }

    private static boolean survives(Harness.Entry entry) {
        for (int attempt = 0; attempt < 50 && entry.isAlive(); attempt++) {
            if (entry.isReady()) {
                return true;
            }
            Harness.sleep(50);
        }
        return entry.isAlive();
    }
}
