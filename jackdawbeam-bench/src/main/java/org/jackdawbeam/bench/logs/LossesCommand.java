package org.jackdawbeam.bench.logs;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Analyzes logs for waiting, refused and unfinished requests. */
@Command(
        name = "losses",
        mixinStandardHelpOptions = true,
        description = "Aggregates the logs of all entries, each line prefixed with time and host: why requests waited,"
                + " why they were refused, and the outcomes of requests by size.")
public final class LossesCommand implements Callable<Integer> {
    @Parameters(paramLabel = "LOG", description = "File that contains the logs of all entries.")
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
