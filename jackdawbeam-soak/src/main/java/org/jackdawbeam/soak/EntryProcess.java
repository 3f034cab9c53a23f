package org.jackdawbeam.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** An entry that runs as a separate process. Signals go only to the process id that it started. */
final class EntryProcess implements AutoCloseable {
    private static final String MAIN = "org.jackdawbeam.platform.Main";
    private static final String PEAK_MEMORY = "VmHWM:";
    private static final long KILOBYTES_PER_MEGABYTE = 1_024;

    private final String name;
    private final Path folder;
    private final int firstPort;
    private final List<Process> runs = new ArrayList<>();
    private boolean closed;

    EntryProcess(String name, Path folder, int firstPort) {
        this.name = name;
        this.folder = folder;
        this.firstPort = firstPort;
        // Ends the process also when the soak run is interrupted.
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    String name() {
        return name;
    }

    int peerPort() {
        return firstPort;
    }

    int directoryPort() {
        return firstPort + 2;
    }

    int callerPort() {
        return firstPort + 4;
    }

    /** Returns the number of starts so far. */
    synchronized int incarnation() {
        return runs.size();
    }

    synchronized boolean isRunning() {
        return !runs.isEmpty() && runs.getLast().isAlive();
    }

    /**
     * Returns the largest resident memory of the current run.
     *
     * @throws UncheckedIOException if the process has ended, or the system does not tell
     */
    synchronized long peakMegabytes() {
        Path status = Path.of("/proc", Long.toString(runs.getLast().pid()), "status");
        try (Stream<String> lines = Files.lines(status)) {
            return lines.filter(line -> line.startsWith(PEAK_MEMORY))
                            .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                            .findFirst()
                            .orElseThrow()
                    / KILOBYTES_PER_MEGABYTE;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the number of descriptors that the current run has open.
     *
     * @throws UncheckedIOException if the process has ended, or the system does not tell
     */
    synchronized long openDescriptors() {
        Path descriptors = Path.of("/proc", Long.toString(runs.getLast().pid()), "fd");
        try (Stream<Path> open = Files.list(descriptors)) {
            return open.count();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the exit code of the last run, or empty while it is running. */
    synchronized Optional<Integer> exitCode() {
        return runs.isEmpty() || runs.getLast().isAlive()
                ? Optional.empty()
                : Optional.of(runs.getLast().exitValue());
    }

    void writeSettings(String settings) {
        try {
            Files.writeString(settingsFile(), settings);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    void start() {
        start(List.of());
    }

    /** Starts the entry with further options of the Java runtime. */
    synchronized void start(List<String> runtimeOptions) {
        if (closed) {
            return;
        }
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of(
                "-Xmx160m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:+ExitOnOutOfMemoryError",
                "-Dio.netty.noPreferDirect=true",
                "--enable-native-access=ALL-UNNAMED"));
        command.addAll(runtimeOptions); // of two options the later one holds
        command.addAll(List.of(
                "-cp",
                System.getProperty("java.class.path"),
                MAIN,
                "--metrics-port",
                "0",
                "--settings",
                settingsFile().toString()));
        try {
            Path log = folder.resolve(name + ".log");
            runs.add(new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized void kill() {
        runs.getLast().destroyForcibly();
    }

    /** Sends a signal by its name, such as TERM. */
    synchronized void signal(String signal) {
        if (!isRunning()) {
            return;
        }
        try {
            new ProcessBuilder(
                            "kill", "-" + signal, Long.toString(runs.getLast().pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for the current run to exit; returns empty on timeout. */
    Optional<Integer> awaitExit(long millis) {
        Process last;
        synchronized (this) {
            last = runs.getLast();
        }
        try {
            return last.waitFor(millis, TimeUnit.MILLISECONDS) ? Optional.of(last.exitValue()) : Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    /** Waits for the current run to exit and kills it on timeout; returns its exit code, or empty if it was killed. */
    Optional<Integer> awaitExitOrKill(long millis) {
        Optional<Integer> exitCode = awaitExit(millis);
        if (exitCode.isEmpty()) {
            kill();
            awaitExit(millis);
        }
        return exitCode;
    }

    @Override
    public synchronized void close() {
        closed = true;
        runs.forEach(Process::destroyForcibly);
    }

    private Path settingsFile() {
        return folder.resolve(name + ".toml");
    }
}
