package org.jackdawbeam.cli;

import java.util.List;
import org.jackdawbeam.logic.entry.EntryOptions;
import org.jackdawbeam.model.settings.EntryTimings;
import picocli.CommandLine.Option;

/** Flags of {@code jackdawbeam entry}. */
final class EntryFlags {
    @Option(names = "--host-id", description = "Name of this host, unique among the entries.")
    String hostId;

    @Option(names = "--zone", description = "Availability zone of this host.")
    String zone;

    @Option(names = "--listen", description = "IP:port for callers.")
    String listen;

    @Option(names = "--peer-listen", description = "IP:port for other entries.")
    String peerListen;

    @Option(names = "--admin-listen", description = "IP:port for operators and monitoring.")
    String adminListen;

    @Option(names = "--caller-url", description = "URL of this entry for callers; http://LISTEN by default.")
    String callerUrl;

    @Option(names = "--platform", description = "IP:port of the platform's service.")
    String platform;

    @Option(names = "--operator-public-key", description = "Base64 of the Ed25519 public key that signs bundles.")
    String operatorPublicKey;

    @Option(names = "--operator-key-sha256", description = "SHA-256 of the operator key for the administration API.")
    String operatorKeySha256;

    @Option(names = "--seed-peers", split = ",", description = "IP:port of peers to ask while the log is unavailable.")
    List<String> seedPeers = List.of();

    @Option(names = "--threads", defaultValue = "2", description = "Threads for connections (${DEFAULT-VALUE}).")
    int threads;

    @Option(names = "--lease-ms", defaultValue = "2000", description = "Duration of a lease (${DEFAULT-VALUE}).")
    long leaseMillis;

    @Option(
            names = "--drift-ms",
            defaultValue = "500",
            description = "Allowance for clock drift within a lease (${DEFAULT-VALUE}).")
    long driftMillis;

    @Option(names = "--heartbeat-ms", defaultValue = "500", description = "Heartbeat interval (${DEFAULT-VALUE}).")
    long heartbeatMillis;

    @Option(
            names = "--entries-max-age-ms",
            defaultValue = "5000",
            description = "How long callers keep the list of entries (${DEFAULT-VALUE}).")
    long entriesMaximumAgeMillis;

    @Option(
            names = "--first-token-ms",
            defaultValue = "10000",
            description = "How long a completion may wait for a target (${DEFAULT-VALUE}).")
    long firstTokenMillis;

    @Option(
            names = "--service-call-ms",
            defaultValue = "10000",
            description = "How long a call to a plain service may wait (${DEFAULT-VALUE}).")
    long serviceCallMillis;

    @Option(
            names = "--idempotency-window-ms",
            defaultValue = "86400000",
            description = "How long idempotency keys are remembered (${DEFAULT-VALUE}).")
    long idempotencyWindowMillis;

    @Option(
            names = "--max-queued",
            defaultValue = "2000",
            description = "Maximum number of queued requests (${DEFAULT-VALUE}).")
    int maximumQueued;

    @Option(
            names = "--max-body-bytes",
            defaultValue = "1048576",
            description = "Maximum size of a request body (${DEFAULT-VALUE}).")
    int maximumBodyBytes;

    @Option(names = "--trace-endpoint", description = "OTLP endpoint for traces, http://IP:port; none by default.")
    String traceEndpoint;

    EntryTimings timings() {
        EntryTimings defaults = EntryTimings.defaults();
        return new EntryTimings(
                heartbeatMillis,
                leaseMillis,
                driftMillis,
                defaults.memberDeadMillis(),
                defaults.logPollMillis(),
                defaults.appendRetryMillis(),
                Math.min(defaults.borrowMillis(), driftMillis / 2),
                firstTokenMillis,
                serviceCallMillis,
                defaults.totalMillis(),
                defaults.firstByteMillis(),
                defaults.betweenTokensMillis(),
                entriesMaximumAgeMillis,
                idempotencyWindowMillis,
                defaults.placementMillis(),
                defaults.orderLifeMillis(),
                defaults.orderAnswerMillis(),
                defaults.loadPollMillis(),
                defaults.snapshotRecords(),
                defaults.snapshotMillis(),
                maximumQueued);
    }

    EntryOptions options() {
        EntryOptions defaults = EntryOptions.defaults();
        return new EntryOptions(
                timings(),
                defaults.routing(),
                defaults.placement(),
                defaults.queueing(),
                defaults.borrowing(),
                seedPeers);
    }
}
