package org.jackdawbeam.bench.harness;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongFunction;
import org.jackdawbeam.logic.configuration.BundleDecoder;
import org.jackdawbeam.logic.configuration.KeyCredential;
import org.jackdawbeam.logic.entry.Effect;
import org.jackdawbeam.logic.entry.EntryOptions;
import org.jackdawbeam.logic.entry.EntryReducer;
import org.jackdawbeam.logic.entry.EntryState;
import org.jackdawbeam.logic.entry.Event;
import org.jackdawbeam.logic.entry.OrderOutcome;
import org.jackdawbeam.logic.entry.Transition;
import org.jackdawbeam.logic.request.Work;
import org.jackdawbeam.model.bundle.Bundle;
import org.jackdawbeam.model.bundle.TargetKind;
import org.jackdawbeam.model.log.LogEntry;
import org.jackdawbeam.model.log.LogRecord;
import org.jackdawbeam.model.log.LogRecord.BundleRolled;
import org.jackdawbeam.model.request.AttemptFailure;
import org.jackdawbeam.model.request.AttemptId;
import org.jackdawbeam.model.request.Call;
import org.jackdawbeam.model.target.EngineLoad;
import org.jackdawbeam.standin.engine.EngineProfile;

/**
 * Runs the reducers of several entries, a log, engines and services on one event queue. Fakes execute the effects.
 * Machines are not modeled, and the network model covers only delay, loss and duplication of messages.
 */
public final class Fleet implements Node.EffectExecutor {
    private static final double TICK_MILLIS = 50;
    private static final int MAX_READ_RECORDS = 512;
    private static final double APPEND_MILLIS = 2;
    private static final double SERVICE_MILLIS = 5;
    private static final String LOG = "log";

    private final EventQueue queue;
    private final Network network;
    private final EntryOptions options;
    private final FleetObserver observer;
    private final Map<String, Bundle> documents = new HashMap<>();
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Map<String, FakeEngine> engines = new LinkedHashMap<>();
    private final Map<String, FakeService> services = new HashMap<>();
    private final Map<AttemptKey, Runnable> cancellations = new HashMap<>();
    private final Set<String> leavingHosts = new HashSet<>();
    private final FakeLog log = new FakeLog();
    private double lostAppendAnswerProbability;
    private double lostOrderProbability;
    private double lateOrderProbability;
    private final Map<String, Integer> tokensByRequest = new HashMap<>();

    /** Identifies an attempt within one incarnation of a node. */
    record AttemptKey(String hostId, long incarnation, AttemptId attempt) {}

    public Fleet(EventQueue queue, Network network, EntryOptions options, FleetObserver observer) {
        this.queue = queue;
        this.network = network;
        this.options = options;
        this.observer = observer;
    }

    /** Adds an entry, whose ticks start at a random phase. */
    public Node addNode(String hostId, String zone) {
        BundleDecoder decoder = document -> Optional.ofNullable(documents.get(document));
        EntryReducer reducer = new EntryReducer(options, bundle -> true, decoder);
        Node node = new Node(queue, reducer, hostId, zone, this);
        nodes.put(hostId, node);
        double phase = network.random().nextDouble() * TICK_MILLIS;
        queue.after(phase, () -> queue.every(TICK_MILLIS, () -> node.submit(Event.Ticked::new)));
        return node;
    }

    /** Adds the engines and services of a bundle; the profile of each engine is derived from its memory. */
    public void addTargets(Bundle bundle, double modelLoadMillis) {
        FakeStore store = new FakeStore(queue, bundle.store(), modelLoadMillis);
        bundle.targets().stream()
                .filter(target -> target.kind() == TargetKind.ENGINE)
                .forEach(target -> engines.put(
                        target.name(),
                        new FakeEngine(
                                queue,
                                target,
                                EngineProfile.standard(target.capacityBytes(), target.cacheReserveBytes()),
                                store)));
        bundle.targets().stream()
                .filter(target -> target.kind() == TargetKind.SERVICE)
                .forEach(target -> services.put(target.name(), new FakeService()));
    }

    /** Returns a log record that puts the bundle into force. */
    public BundleRolled roll(Bundle bundle, long basedOn, String name) {
        documents.put(name, bundle);
        return new BundleRolled("operator/" + name, basedOn, basedOn + 1, name, "");
    }

    /** Submits an operator's change to a node. */
    public void submitOperatorRequest(Node node, LogRecord record) {
        node.submit(now -> new Event.OperatorRequested(now, 1, record));
    }

    /** Sends a request to a node. */
    public void request(Node node, long requestId, Event.RequestArrived template, int tokens) {
        tokensByRequest.put(node.hostId() + "/" + requestId, tokens);
        node.submit(now -> new Event.RequestArrived(now, requestId, template.credential(), template.call()));
    }

    /** Returns the log. */
    public FakeLog log() {
        return log;
    }

    /** Returns the entries. */
    public List<Node> nodes() {
        return List.copyOf(nodes.values());
    }

    /** Returns the engines by name. */
    public Map<String, FakeEngine> engines() {
        return engines;
    }

    /** Returns the services by target name. */
    public Map<String, FakeService> services() {
        return services;
    }

    /** Returns the mutable set of targets that the host list shows as leaving. */
    public Set<String> leavingHosts() {
        return leavingHosts;
    }

    /** Sets the probability that an append takes effect but its response is lost. */
    public void setLostAppendAnswers(double probability) {
        lostAppendAnswerProbability = probability;
    }

    /** Sets the probabilities that an order is lost, and that it is delayed by up to its lifetime. */
    public void setOrderFaults(double lost, double late) {
        lostOrderProbability = lost;
        lateOrderProbability = late;
    }

    @Override
    public void execute(Node node, EntryState before, Transition transition) {
        transition.effects().forEach(effect -> execute(node, transition.state(), effect));
    }

    @Override
    public void observe(Node node, EntryState before, EntryState after) {
        observer.onTransition(node, before, after);
    }

    private void execute(Node node, EntryState state, Effect effect) {
        switch (effect) {
            case Effect.ReadLog read -> readLog(node, read.fromOffset());
            case Effect.AppendRecords append -> append(node, append.records());
            case Effect.SendPeerMessage send -> sendToPeer(node, send);
            case Effect.PollLoad poll -> pollLoad(node, poll.target().name());
            case Effect.PollHostList poll -> readHostList(node);
            case Effect.StartAttempt start -> startAttempt(node, state, start);
            case Effect.CancelAttempt cancel -> cancel(node, cancel.attempt());
            case Effect.CompleteRequest complete -> observer.onCompleted(node, complete.attempt());
            case Effect.RefuseRequest refuse -> observer.onRefused(node, refuse.requestId(), refuse.refusal());
            case Effect.ReplayAnswer replay -> observer.onReplayed(node, replay.requestId(), replay.answer());
            case Effect.AnswerModels models -> {
                // Callers of the harness do not list models.
            }
            case Effect.SendOrder order -> sendOrder(node, order);
            case Effect.Schedule schedule ->
                queue.after(
                        schedule.delayMillis(),
                        () -> node.submit(now -> schedule.timer().firedAt(now)));
            case Effect.AnswerOperator answer -> {
                // Operators of the harness inspect the state of the node instead.
            }
            case Effect.Exit exit -> node.exit();
        }
    }

    private void readLog(Node node, long fromOffset) {
        long askedAt = queue.currentTimeMillis();
        after(() -> {
            if (!reachesLog(node)) {
                queue.after(2_000, () -> node.submit(now -> new Event.LogReadFailed(now, askedAt)));
                return;
            }
            List<LogEntry> entries = log.read(fromOffset, MAX_READ_RECORDS);
            long head = log.head();
            queue.after(
                    log.delayMillis() + network.delay(),
                    () -> node.submit(now -> new Event.LogRead(now, askedAt, entries, head)));
        });
    }

    private void append(Node node, List<LogRecord> records) {
        List<String> ids = records.stream().map(LogRecord::recordId).toList();
        queue.after(APPEND_MILLIS + log.delayMillis() + network.delay(), () -> {
            if (!reachesLog(node)) {
                queue.after(2_000, () -> node.submit(now -> new Event.AppendEnded(now, ids, false)));
                return;
            }
            log.append(records, queue.currentTimeMillis());
            boolean lost = network.random().nextDouble() < lostAppendAnswerProbability;
            queue.after(
                    lost ? 2_000 : network.delay(), () -> node.submit(now -> new Event.AppendEnded(now, ids, !lost)));
        });
    }

    private boolean reachesLog(Node node) {
        return !log.isUnavailable() && !node.cutFrom().contains(LOG);
    }

    private void sendToPeer(Node node, Effect.SendPeerMessage send) {
        Node receiver = nodes.get(send.address());
        boolean cut = receiver == null
                || node.cutFrom().contains(receiver.hostId())
                || receiver.cutFrom().contains(node.hostId());
        if (cut || network.dropsMessage()) {
            return;
        }
        LongFunction<Event> event = now -> new Event.PeerReceived(now, send.message());
        after(() -> receiver.submit(event));
        if (network.duplicatesMessage()) {
            after(() -> receiver.submit(event));
        }
    }

    private void pollLoad(Node node, String target) {
        long askedAt = queue.currentTimeMillis();
        FakeEngine engine = engines.get(target);
        after(() -> {
            EngineLoad load = node.cutFrom().contains(target) ? null : engine.report();
            if (load == null) {
                after(() -> node.submit(now -> new Event.LoadUnavailable(now, target)));
                return;
            }
            after(() -> node.submit(now -> new Event.LoadReported(now, target, askedAt, load)));
        });
    }

    private void readHostList(Node node) {
        long askedAt = queue.currentTimeMillis();
        after(() -> {
            Set<String> leaving = Set.copyOf(leavingHosts);
            after(() -> node.submit(now -> new Event.HostListRead(now, askedAt, leaving)));
        });
    }

    private void startAttempt(Node node, EntryState state, Effect.StartAttempt start) {
        AttemptId attempt = start.attempt();
        String target = start.target().name();
        state.requests()
                .find(attempt.requestId())
                .ifPresent(request -> observer.onAttempt(node, request, attempt, target));
        after(() -> {
            boolean cut = node.cutFrom().contains(target);
            if (cut) {
                fail(node, attempt, AttemptFailure.CONNECT_FAILED, false, 0);
                return;
            }
            node.submit(now -> new Event.AttemptWritten(now, attempt));
            switch (start.work()) {
                case Work.Completion completion -> startCompletion(node, start, completion);
                case Work.Service service -> callService(node, attempt, target, service);
            }
        });
    }

    private void startCompletion(Node node, Effect.StartAttempt start, Work.Completion completion) {
        AttemptId attempt = start.attempt();
        FakeEngine engine = engines.get(start.target().name());
        int wanted = tokensByRequest.getOrDefault(
                node.hostId() + "/" + attempt.requestId(), completion.call().maximumTokens());
        int left = Math.max(1, wanted - (int) start.resumeOffset());
        AttemptKey key = new AttemptKey(node.hostId(), node.incarnation(), attempt);
        CompletionObserver progress = new CompletionObserver(this, observer, node, start, key);
        long id = engine.start(completion, start.resumeOffset(), left, progress);
        if (!progress.hasEnded()) {
            cancellations.put(key, () -> engine.cancel(id));
            queue.after(options.timings().firstByteMillis(), progress::checkFirstByte);
        }
    }

    private void callService(Node node, AttemptId attempt, String target, Work.Service service) {
        FakeService fake = services.get(target);
        String request = node.hostId() + "/" + node.incarnation() + "/" + attempt.requestId();
        queue.after(SERVICE_MILLIS, () -> {
            fake.execute(request, service.call().idempotencyKey().orElse(""));
            after(() -> {
                node.submit(now -> new Event.AttemptAnswering(now, attempt));
                node.submit(now -> new Event.AttemptCompleted(
                        now, attempt, -1, -1, service.needsClaim() ? observer.answer(attempt) : Optional.empty()));
            });
        });
    }

    private void cancel(Node node, AttemptId attempt) {
        takeCancellation(new AttemptKey(node.hostId(), node.incarnation(), attempt))
                .ifPresent(cancellation -> {
                    cancellation.run();
                    fail(node, attempt, AttemptFailure.CONNECTION_LOST, true, 0);
                });
    }

    /** Notifies the node that an attempt failed. */
    void fail(Node node, AttemptId attempt, AttemptFailure failure, boolean mayHaveRun, long tokens) {
        after(() -> node.submit(now -> new Event.AttemptFailed(now, attempt, failure, mayHaveRun, tokens)));
    }

    private void sendOrder(Node node, Effect.SendOrder order) {
        String target = order.target().name();
        long sequence = order.order().sequence();
        if (queue.currentTimeMillis() >= order.notAfterMillis()) {
            node.submit(now -> new Event.OrderAnswered(now, target, sequence, OrderOutcome.UNKNOWN, ""));
            return;
        }
        boolean lost = network.random().nextDouble() < lostOrderProbability;
        boolean late = network.random().nextDouble() < lateOrderProbability;
        boolean[] answered = {false};
        FakeEngine engine = engines.get(target);
        double delay = late ? network.random().nextDouble() * options.timings().orderLifeMillis() : network.delay();
        if (!lost && !node.cutFrom().contains(target)) {
            queue.after(
                    delay,
                    () -> engine.order(order.order(), order.fencing(), outcome -> {
                        String run = engine.processName();
                        after(() -> {
                            boolean first = !answered[0];
                            answered[0] = true;
                            if (first) {
                                node.submit(now -> new Event.OrderAnswered(now, target, sequence, outcome, run));
                            }
                        });
                    }));
        }
        queue.after(options.timings().orderAnswerMillis(), () -> {
            if (!answered[0]) {
                answered[0] = true;
                node.submit(now -> new Event.OrderAnswered(now, target, sequence, OrderOutcome.UNKNOWN, ""));
            }
        });
    }

    /** Removes and returns the action that cancels an attempt. */
    Optional<Runnable> takeCancellation(AttemptKey key) {
        return Optional.ofNullable(cancellations.remove(key));
    }

    /** Runs an action after the network delay of one message. */
    void after(Runnable action) {
        queue.after(network.delay(), action);
    }

    /** Returns a template of a request; time and request id are filled in when it is sent. */
    public static Event.RequestArrived requestTemplate(KeyCredential credential, Call call) {
        return new Event.RequestArrived(0, 0, Optional.of(credential), call);
    }
}
