package org.jackdawbeam.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Signals to an entry process. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class EntrySignalTest {
    @TempDir
    private Path folder;

    private void awaitLine(EntryProcess entry, String text) throws IOException, InterruptedException {
        Path log = folder.resolve(entry.name() + ".log");
        while (entry.isRunning() && !(Files.exists(log) && Files.readString(log).contains(text))) {
            Thread.sleep(2);
        }
    }

    // Guards against a process that is ended by a SIGHUP during its start.
    @Test
    void reloadDuringTheStartIsDoneAfterIt() throws Exception {
        try (SoakSite site = new SoakSite(1, folder)) {
            EntryProcess entry = site.entries().getFirst();
            entry.start();
            awaitLine(entry, "event=starting");

            entry.signal("HUP");
            awaitLine(entry, "event=settings_reloaded");

            assertThat(entry.exitCode()).isEmpty();
        }
    }

    // Guards against a SIGHUP that ends the process while it parses its command line, the longest part of its start.
    @Test
    void reloadBeforeTheCommandLineIsParsedIsDoneAfterTheStart() throws Exception {
        try (SoakSite site = new SoakSite(1, folder)) {
            EntryProcess entry = site.entries().getFirst();
            entry.start(List.of("-Xlog:class+load=info:stdout:none"));
            awaitLine(entry, "picocli.CommandLine$Model$CommandSpec ");

            entry.signal("HUP");
            awaitLine(entry, "event=settings_reloaded");

            assertThat(entry.exitCode()).isEmpty();
        }
    }
}
