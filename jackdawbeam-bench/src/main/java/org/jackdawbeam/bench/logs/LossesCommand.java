package org.jackdawbeam.bench.logs;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Shows from logs where requests were lost. */
@Command(
        name = "losses",
        mixinStandardHelpOptions = true,
        description =
                "Adds up, from the logs of all entries with the time and the host before each line, which requests"
                        + " waited for what, which were refused why, and how requests of different sizes ended.")
public final class LossesCommand implements Callable<Integer> {
    @Parameters(paramLabel = "LOG", description = "File with the logs.")
    private Path log;

    @Override
    public Integer call() throws IOException {
        LossTable losses = new LossTable();
        SizeTable sizes = new SizeTable();
        try (Stream<String> lines = Files.lines(log)) {
            lines.flatMap(line -> LogLine.parse(line).stream()).forEach(line -> {
                losses.add(line);
                sizes.add(line);
            });
        }
        losses.lines().forEach(System.out::println);
        sizes.lines().forEach(System.out::println);
        return 0;
    }
}
