package org.jackdawbeam.bench.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.LongFunction;
import org.jackdawbeam.bench.harness.EventQueue;
import org.jackdawbeam.logic.fleet.FleetEffect;
import org.jackdawbeam.logic.fleet.FleetEvent;
import org.jackdawbeam.logic.store.StoreCall;
import org.jackdawbeam.model.fleet.CallerRequest;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;
import org.jackdawbeam.model.fleet.FleetBounds;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.QuarantineReport.QuarantinedParts;
import org.jackdawbeam.model.fleet.TargetStatement;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.request.AttemptId;

/** Simulates a fleet of entries with a store and targets, and executes the effects of the reducers. */
public final class FleetSimulation {
    private static final double TICK_MILLIS = 50;
    private static final double STORE_CALL_MILLIS = 5;
    private static final double POLL_MILLIS = 25;
    private static final double STORE_TIMEOUT_MILLIS = 1_500;
    // longest time after which the store may execute an unanswered call
    private static final double MAX_APPEND_DELAY_MILLIS = 6_000;
    private static final double PEER_MILLIS = 2;

    private final EventQueue queue;
    private final Random random;
    private final SimulatedStore store = new SimulatedStore();
    private final List<SimulatedMember> members = new ArrayList<>();
    private final Map<String, SimulatedMember> byAddress = new HashMap<>();
    private final TargetBackend targets;
    private final BiConsumer<String, Refusal> refusalListener;
    private boolean storeDown;
    private double lostAnswerProbability;
    private long nextRequest;
    private long storeCalls;

    /**
     * Creates a fleet without entries.
     *
     * @param refusalListener receives the caller's request id and the refusal of each refused request
     */
    public FleetSimulation(
            EventQueue queue, Random random, TargetBackend targets, BiConsumer<String, Refusal> refusalListener) {
        this.queue = queue;
        this.random = random;
        this.targets = targets;
        this.refusalListener = refusalListener;
    }

    /** Returns the store. */
    public SimulatedStore store() {
        return store;
    }

    /** Returns all entries, including those that are down. */
    public List<SimulatedMember> members() {
        return members;
    }

    /** Returns the number of calls to the store so far. */
    public long storeCalls() {
        return storeCalls;
    }

    void setStoreDown(boolean down) {
        storeDown = down;
    }

    /** Sets the probability that the store executes an append without answering; half of these are executed late. */
    void setLostAnswerProbability(double share) {
        lostAnswerProbability = share;
    }

    /** Adds an entry and starts it. */
    public void add(String id, String zone, FleetBounds bounds) {
        SimulatedMember member = new SimulatedMember(id, zone, bounds);
        members.add(member);
        byAddress.put(member.identity().peerAddress(), member);
        queue.every(TICK_MILLIS, () -> {
            if (member.isUp() && !member.isPaused()) {
                submit(member, FleetEvent.Ticked::new);
            }
        });
    }

    void resume(SimulatedMember member) {
        if (member.isPaused()) {
            member.resume().forEach(event -> submit(member, event));
        }
    }

    /** Sends a caller's request to a member and returns its request number at that member. */
    public long request(SimulatedMember member, CallerRequest call) {
        long number = nextRequest++;
        submit(member, now -> new FleetEvent.RequestArrived(now, number, call));
        return number;
    }

    /** Submits an event to an entry and executes the effects; ignored if the entry is down. */
    public void submit(SimulatedMember member, LongFunction<FleetEvent> event) {
        if (!member.isUp()) {
            return;
        }
        for (FleetEffect effect : member.apply(event, queue.currentTimeMillis())) {
            execute(member, effect);
        }
    }

    /** Submits an event after a delay, unless the process restarts in the meantime. */
    public void submitLater(SimulatedMember member, double delayMillis, LongFunction<FleetEvent> event) {
        int incarnation = member.incarnation();
        queue.after(delayMillis, () -> {
            if (member.incarnation() == incarnation) {
                submit(member, event);
            }
        });
    }

    /** Delivers the response head of a target after the link latency. */
    public void answerAttempt(
            SimulatedMember member, AttemptId attempt, double linkMillis, int status, boolean notExecuted) {
        submitLater(
                member,
                linkMillis,
                now -> new FleetEvent.AttemptAnswered(
                        now, attempt, status, notExecuted, true, TargetStatement.empty()));
    }

    private void execute(SimulatedMember member, FleetEffect effect) {
        storeCalls += StoreCall.of(effect).isPresent() ? 1 : 0;
        switch (effect) {
            case FleetEffect.ReadFeed read -> readFeed(member, read);
            case FleetEffect.Announce announce -> announce(member, announce.member());
            case FleetEffect.Withdraw withdraw ->
                write(member, Feed.MEMBERS, new FeedEntry.MemberRemoved(withdraw.memberId()));
            case FleetEffect.StoreQuarantine stored -> storeQuarantine(member, stored);
            case FleetEffect.AppendLeadership append -> appendLeadership(member, append);
            case FleetEffect.ReadLeadership read -> readLeadership(member, read.fromOffset());
            case FleetEffect.SendPeerMessage sent -> send(member, sent);
            case FleetEffect.StartAttempt attempt -> targets.start(this, member, attempt);
            case FleetEffect.SendOrder sent -> targets.order(this, member, sent.order());
            case FleetEffect.ReadReport read -> targets.report(this, member, read.target());
            case FleetEffect.CancelAttempt cancelled -> targets.cancel(cancelled.attempt());
            case FleetEffect.RefuseRequest refused ->
                refusalListener.accept(refused.callerRequestId(), refused.refusal());
            case FleetEffect.WakeAfter wake -> submitLater(member, wake.delayMillis(), FleetEvent.Woken::new);
            case FleetEffect.RelayAnswer relayed -> {
                // Relayed answers are not simulated.
            }
            case FleetEffect.BreakAnswer broken -> {
                // A broken connection makes no statement about the request, so there is nothing to check.
            }
            case FleetEffect.ForgetRequest forgotten -> {
                // Nothing is kept for requests.
            }
            case FleetEffect.ForgetTarget forgotten -> {
                // Idle connections are not simulated.
            }
            case FleetEffect.StopListening stopped -> {
                // Members are killed, not stopped; StopFlowTest covers planned stops.
            }
            case FleetEffect.Exit exited -> {
                // Part of a planned stop, which is not simulated.
            }
            case FleetEffect.Note note -> {
                // Notes are only logged.
            }
        }
    }

    private boolean reachesStore(SimulatedMember member) {
        return !storeDown && !member.isCutFromStore();
    }

    private void readFeed(SimulatedMember member, FleetEffect.ReadFeed read) {
        long askedAt = queue.currentTimeMillis();
        int incarnation = member.incarnation();
        queue.after(STORE_CALL_MILLIS, () -> answerRead(member, incarnation, read, askedAt, read.waitMillis()));
    }

    private void answerRead(
            SimulatedMember member, int incarnation, FleetEffect.ReadFeed read, long askedAt, double waitMillis) {
        if (!reachesStore(member)) {
            submitLater(member, STORE_TIMEOUT_MILLIS, now -> new FleetEvent.FeedFailed(now, read.feed(), false));
            return;
        }
        Optional<SimulatedStore.Read> answer = read.fromOffset().isPresent()
                ? store.read(read.feed(), read.fromOffset().getAsLong())
                : Optional.of(store.newest(read.feed()));
        boolean waits = answer.isPresent()
                && !answer.get().newest()
                && answer.get().entries().isEmpty()
                && waitMillis > 0;
        if (waits) {
            queue.after(POLL_MILLIS, () -> answerRead(member, incarnation, read, askedAt, waitMillis - POLL_MILLIS));
            return;
        }
        if (member.incarnation() != incarnation) {
            return;
        }
        answer(
                member,
                now -> answer.<FleetEvent>map(found -> new FleetEvent.FeedRead(
                                now, read.feed(), askedAt, found.newest(), found.entries(), found.nextOffset()))
                        .orElseGet(() -> new FleetEvent.FeedFailed(now, read.feed(), true)));
    }

    private void announce(SimulatedMember member, FleetMember identity) {
        boolean accepted = write(member, Feed.MEMBERS, new FeedEntry.Member(identity));
        answer(member, now -> new FleetEvent.AnnouncementEnded(now, accepted));
    }

    private void storeQuarantine(SimulatedMember member, FleetEffect.StoreQuarantine stored) {
        QuarantinedParts parts = stored.parts();
        FeedEntry entry = parts.released()
                ? new FeedEntry.QuarantineRemoved(parts.parts().toString())
                : new FeedEntry.Quarantined(parts);
        boolean accepted = write(member, Feed.QUARANTINE, entry);
        answer(member, now -> new FleetEvent.QuarantineStored(now, stored.group(), accepted));
    }

    private boolean write(SimulatedMember member, Feed feed, FeedEntry entry) {
        if (!reachesStore(member)) {
            return false;
        }
        store.write(feed, entry);
        return random.nextDouble() >= lostAnswerProbability;
    }

    private void appendLeadership(SimulatedMember member, FleetEffect.AppendLeadership append) {
        long askedAt = queue.currentTimeMillis();
        int incarnation = member.incarnation();
        boolean lost = random.nextDouble() < lostAnswerProbability;
        double delay = lost && random.nextBoolean() ? random.nextDouble() * MAX_APPEND_DELAY_MILLIS : STORE_CALL_MILLIS;
        boolean reached = reachesStore(member);
        queue.after(delay, () -> {
            boolean appended = reached && store.appendHolder(append.holder(), append.atOffset());
            FleetEvent.AppendResult result = appended
                    ? new FleetEvent.AppendResult.Appended(append.atOffset())
                    : new FleetEvent.AppendResult.Conflict(store.holderEnd());
            if (member.incarnation() == incarnation && reached && !lost) {
                answer(member, now -> new FleetEvent.LeadershipAppended(now, askedAt, result));
            }
        });
        if (lost || !reached) {
            submitLater(
                    member,
                    STORE_TIMEOUT_MILLIS,
                    now -> new FleetEvent.LeadershipAppended(now, askedAt, new FleetEvent.AppendResult.Unknown()));
        }
    }

    private void readLeadership(SimulatedMember member, long from) {
        if (!reachesStore(member)) {
            submitLater(member, STORE_TIMEOUT_MILLIS, FleetEvent.LeadershipUnreadable::new);
            return;
        }
        List<String> holders = store.holders(from);
        long end = store.holderEnd();
        answer(member, now -> new FleetEvent.LeadershipRead(now, from, holders, end));
    }

    /** Delivers a response of the store, preceded by the era of the store if it reports one. */
    private void answer(SimulatedMember member, LongFunction<FleetEvent> event) {
        store.era()
                .ifPresent(era -> submitLater(member, STORE_CALL_MILLIS, now -> new FleetEvent.StoreEraSeen(now, era)));
        submitLater(member, STORE_CALL_MILLIS, event);
    }

    private void send(SimulatedMember sender, FleetEffect.SendPeerMessage sent) {
        SimulatedMember receiver = byAddress.get(sent.address());
        if (receiver == null || sender.isCutFromPeers() || receiver.isCutFromPeers()) {
            return;
        }
        submitLater(receiver, PEER_MILLIS, now -> new FleetEvent.PeerReceived(now, sent.message()));
    }
}
