package org.jackdawbeam.cli;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.jackdawbeam.logic.configuration.SignatureVerifier;
import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.time.MonotonicClock;
import org.jackdawbeam.net.bundle.BundleSignatures;
import org.jackdawbeam.net.entry.EntryAddresses;
import org.jackdawbeam.net.entry.EntryServer;
import org.jackdawbeam.net.http.HttpLimits;
import org.tinylog.Logger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs an entry until it is stopped. */
@Command(
        name = "entry",
        mixinStandardHelpOptions = true,
        description =
                "Runs an entry, which authenticates callers, enforces limits, and routes and streams their requests.",
        footer = {
            "",
            "Example:",
            "  jackdawbeam entry --host-id riga-1 --zone a --listen 10.0.0.1:8080 --peer-listen 10.0.0.1:8081 \\",
            "    --admin-listen 10.0.0.1:8082 --platform 10.0.0.9:7000 --operator-public-key MCow... \\",
            "    --operator-key-sha256 9f86...",
            "",
            "SIGTERM stops gracefully: callers are no longer sent to this host, responses in flight complete, exit 0."
        })
final class EntryCommand implements Callable<Integer> {
    private static final HttpLimits LIMITS = HttpLimits.defaults();
    private static final String SHA256_PATTERN = "[0-9a-f]{64}";

    @Mixin
    private EntryFlags flags = new EntryFlags();

    private record ValidatedSettings(EntryAddresses addresses, SignatureVerifier verifier) {}

    @Override
    public Integer call() throws InterruptedException {
        SettingsChecker checker = new SettingsChecker();
        Optional<ValidatedSettings> settings = validate(checker);
        if (settings.isEmpty() || !checker.problems().isEmpty()) {
            checker.problems().forEach(problem -> System.err.println("error code=SETTINGS_INVALID " + problem));
            return Main.EXIT_INVALID;
        }
        return serve(settings.get());
    }

    private Optional<ValidatedSettings> validate(SettingsChecker checker) {
        checker.requireText("--host-id", flags.hostId);
        checker.requireText("--zone", flags.zone);
        Optional<InetSocketAddress> callers = checker.requireAddress("--listen", flags.listen);
        Optional<InetSocketAddress> peers = checker.requireAddress("--peer-listen", flags.peerListen);
        Optional<InetSocketAddress> administration = checker.requireAddress("--admin-listen", flags.adminListen);
        Optional<InetSocketAddress> platform = checker.requireAddress("--platform", flags.platform);
        String publicKey = checker.requireText("--operator-public-key", flags.operatorPublicKey);
        Optional<SignatureVerifier> verifier = publicKey.isEmpty()
                ? Optional.empty()
                : checker.requireParsable("--operator-public-key", () -> BundleSignatures.verifier(publicKey));
        String operatorKey = checker.requireText("--operator-key-sha256", flags.operatorKeySha256);
        boolean hashed = operatorKey.isEmpty() || operatorKey.matches(SHA256_PATTERN);
        checker.require(hashed, "--operator-key-sha256", "64 lower-case hexadecimal digits are required");
        flags.seedPeers.forEach(peer -> checker.requireAddress("--seed-peers", peer));
        validateNumbers(checker);
        boolean complete = callers.isPresent()
                && peers.isPresent()
                && administration.isPresent()
                && platform.isPresent()
                && verifier.isPresent();
        return complete
                ? Optional.of(new ValidatedSettings(
                        new EntryAddresses(callers.get(), peers.get(), administration.get(), platform.get()),
                        verifier.get()))
                : Optional.empty();
    }

    private void validateNumbers(SettingsChecker checker) {
        checker.requireRange("--threads", flags.threads, 1, 64);
        checker.requireRange("--lease-ms", flags.leaseMillis, 500, 60_000);
        checker.requireRange("--drift-ms", flags.driftMillis, 50, flags.leaseMillis);
        checker.requireRange("--heartbeat-ms", flags.heartbeatMillis, 50, flags.leaseMillis / 3);
        checker.requireRange("--entries-max-age-ms", flags.entriesMaximumAgeMillis, 1_000, 300_000);
        checker.requireRange("--first-token-ms", flags.firstTokenMillis, 100, 300_000);
        checker.requireRange("--service-call-ms", flags.serviceCallMillis, 100, 300_000);
        checker.requireRange("--idempotency-window-ms", flags.idempotencyWindowMillis, 60_000, 30L * 86_400_000);
        checker.requireRange("--max-queued", flags.maximumQueued, 1, 100_000);
        checker.requireRange("--max-body-bytes", flags.maximumBodyBytes, 1_024, 64 * 1_048_576);
    }

    private int serve(ValidatedSettings settings) throws InterruptedException {
        Member self = new Member(flags.hostId, System.currentTimeMillis(), flags.zone, callerUrl(), flags.peerListen);
        MonotonicClock clock = MonotonicClock.system();
        EntryMetrics metrics = new EntryMetrics(clock, flags.timings());
        EntryObserver observer = new EntryObserver(self.hostId(), metrics);
        CountDownLatch stopped = new CountDownLatch(1);
        HttpLimits limits = new HttpLimits(
                LIMITS.maximumLineBytes(),
                LIMITS.maximumHeaderBytes(),
                flags.maximumBodyBytes,
                LIMITS.receiveMillis(),
                LIMITS.idleMillis());
        try (Tracing tracing = Tracing.create(Optional.ofNullable(flags.traceEndpoint), self);
                EntryServer server = new EntryServer(
                        self,
                        settings.addresses(),
                        flags.options(),
                        settings.verifier(),
                        flags.operatorKeySha256,
                        flags.threads,
                        limits,
                        tracing.openTelemetry(),
                        clock,
                        observer,
                        metrics::text,
                        stopped::countDown)) {
            metrics.observePeerBytes(server::peerBytesSent);
            Logger.info(
                    "event=entry_started host={} incarnation={} listen={} zone={}",
                    self.hostId(),
                    self.incarnation(),
                    flags.listen,
                    flags.zone);
            Thread hook = shutdownHook(server, stopped);
            Runtime.getRuntime().addShutdownHook(hook);
            stopped.await();
            Logger.info("event=entry_stopped host={}", self.hostId());
        }
        Runtime.getRuntime().halt(0);
        return 0;
    }

    /** Returns the hook that runs on SIGTERM. It waits for the graceful stop and ends the process with exit code 0. */
    private static Thread shutdownHook(EntryServer server, CountDownLatch stopped) {
        return new Thread(
                () -> {
                    Logger.info("event=stop_requested");
                    server.stop();
                    try {
                        stopped.await();
                        Logger.info("event=stop_complete");
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    Runtime.getRuntime().halt(0);
                },
                "stop");
    }

    private String callerUrl() {
        return flags.callerUrl == null ? "http://" + flags.listen : flags.callerUrl;
    }
}
