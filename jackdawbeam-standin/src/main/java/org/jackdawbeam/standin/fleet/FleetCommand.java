package org.jackdawbeam.standin.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.jackdawbeam.standin.StandInServer;
import org.tinylog.Logger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs an emulated store, engines and services with the platform's protocol, and writes settings files for entries. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = "Small emulated deployment with the platform's protocol, without entries.")
public final class FleetCommand implements Callable<Integer> {
    private static final int PORTS_PER_ENTRY = 10;

    @Option(names = "--store-port", defaultValue = "17500", description = "Port of the store (${DEFAULT-VALUE}).")
    private int storePort;

    @Option(
            names = "--entries",
            defaultValue = "3",
            description = "Number of settings files to write (${DEFAULT-VALUE}).")
    private int entries;

    @Option(names = "--settings-folder", required = true, description = "Folder for the settings files.")
    private Path folder;

    @Option(
            names = "--silent-members",
            defaultValue = "0",
            description = "Unresponsive members to announce, so that entries act as in a large fleet"
                    + " (${DEFAULT-VALUE}).")
    private int silentMembers;

    @Option(names = "--members-topic", defaultValue = "", description = "Topic in which entries announce themselves.")
    private String membersTopic;

    @Option(
            names = "--silent-members-after",
            defaultValue = "0",
            description = "Seconds until unresponsive members are announced (${DEFAULT-VALUE}).")
    private int silentMembersAfterSeconds;

    @Override
    public Integer call() throws IOException, InterruptedException {
        try (FleetSite site = new FleetSite(storePort)) {
            for (int number = 1; number <= entries; number++) {
                int port = storePort + PORTS_PER_ENTRY * number;
                Files.writeString(folder.resolve("entry-" + number + ".toml"), site.settings("entry-" + number, port));
            }
            if (silentMembers > 0) {
                site.announceSilentMembers(silentMembers, membersTopic, silentMembersAfterSeconds);
            }
            Logger.info("event=fleet_started store=127.0.0.1:{} entries={}", site.storePort(), entries);
            StandInServer.awaitStop();
        }
        return 0;
    }
}
