package org.jackdawbeam.logic.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jackdawbeam.model.log.LogEntry;
import org.jackdawbeam.model.log.LogRecord.BundleRolled;
import org.jackdawbeam.model.log.LogRecord.ClaimEnded;
import org.jackdawbeam.model.log.LogRecord.ClaimMade;
import org.jackdawbeam.model.log.LogRecord.EpochProposed;
import org.jackdawbeam.model.log.LogRecord.EpochSettled;
import org.jackdawbeam.model.log.LogRecord.KeyGiven;
import org.jackdawbeam.model.log.LogRecord.KeyWithdrawn;
import org.jackdawbeam.model.log.LogRecord.LoggedClaim;
import org.jackdawbeam.model.log.LogRecord.LoggedOrder;
import org.jackdawbeam.model.log.LogRecord.LoggedResidency;
import org.jackdawbeam.model.log.LogRecord.LoggedSnapshot;
import org.jackdawbeam.model.log.LogRecord.MembersForgotten;
import org.jackdawbeam.model.log.LogRecord.OrderIntended;
import org.jackdawbeam.model.log.LogRecord.OrderResolved;
import org.jackdawbeam.model.log.LogRecord.SnapshotTaken;
import org.jackdawbeam.model.log.OrderItem;
import org.jackdawbeam.model.member.Epoch;
import org.pcollections.PMap;
import org.pcollections.PVector;

/**
 * Applies log records to the replicated state. Each transition depends only on the state and the record, so that all
 * entries compute the same state. Each transition is idempotent, so that a repeated append has no effect.
 */
public final class LogReducer {
    private static final int EPOCHS_KEPT = 32;
    private static final long EXPIRY_INTERVAL_RECORDS = 256;

    private final SignatureVerifier verifier;
    private final BundleDecoder decoder;
    private final long claimWindowMillis;

    public LogReducer(SignatureVerifier verifier, BundleDecoder decoder, long claimWindowMillis) {
        this.verifier = verifier;
        this.decoder = decoder;
        this.claimWindowMillis = claimWindowMillis;
    }

    /**
     * Applies one log entry. An entry before {@code nextOffset} is ignored. An entry after it is ignored unless it is a
     * snapshot that covers the gap.
     */
    public LoggedState reduce(LoggedState state, LogEntry entry) {
        if (entry.offset() < state.nextOffset()) {
            return state;
        }
        if (entry.offset() > state.nextOffset()) {
            return adoptFromLog(state, entry);
        }
        LoggedState reduced = apply(state, entry).withPosition(entry.offset() + 1, entry.timestampMillis());
        return entry.offset() % EXPIRY_INTERVAL_RECORDS == 0 ? expireClaims(reduced) : reduced;
    }

    /** Returns the state of the snapshot if it is newer than the given state, otherwise the given state. */
    public LoggedState adopt(LoggedState state, LoggedSnapshot snapshot) {
        if (snapshot.nextOffset() <= state.nextOffset()) {
            return state;
        }
        Optional<ActiveBundle> bundle = snapshot.bundle().flatMap(this::verifiedBundle);
        long version = bundle.map(ActiveBundle::version).orElse(0L);
        if (version < state.version()) {
            return state;
        }
        return LoggedState.fromSnapshot(snapshot, bundle);
    }

    private LoggedState adoptFromLog(LoggedState state, LogEntry entry) {
        return entry.record() instanceof SnapshotTaken taken ? adopt(state, taken.snapshot()) : state;
    }

    private LoggedState apply(LoggedState state, LogEntry entry) {
        return switch (entry.record()) {
            case BundleRolled bundle -> replaceBundle(state, bundle);
            case KeyGiven given -> addKey(state, given);
            case KeyWithdrawn withdrawn -> revokeKey(state, withdrawn);
            case EpochProposed proposed -> changeEpoch(state, proposed.epoch());
            case EpochSettled settled -> settleEpoch(state, settled);
            case MembersForgotten forgotten -> forgetMembers(state, forgotten);
            case ClaimMade claim -> makeClaim(state, claim, entry.timestampMillis());
            case ClaimEnded ended -> endClaim(state, ended);
            case OrderIntended order -> recordOrder(state, order, entry);
            case OrderResolved resolved -> resolveOrder(state, resolved);
            case SnapshotTaken taken -> state;
        };
    }

    private LoggedState replaceBundle(LoggedState state, BundleRolled rolled) {
        boolean follows = rolled.basedOn() == state.version() && rolled.version() == rolled.basedOn() + 1;
        if (!follows) {
            return state;
        }
        return verifiedBundle(rolled).map(state::withBundle).orElse(state);
    }

    private Optional<ActiveBundle> verifiedBundle(BundleRolled rolled) {
        if (!verifier.accepts(rolled)) {
            return Optional.empty();
        }
        return decoder.decode(rolled.document()).map(bundle -> new ActiveBundle(rolled, bundle));
    }

    private static LoggedState addKey(LoggedState state, KeyGiven given) {
        String id = given.key().id();
        if (state.withdrawnKeyIds().contains(id) || state.givenKeys().containsKey(id)) {
            return state;
        }
        return state.withKeys(state.givenKeys().plus(id, given.key()), state.withdrawnKeyIds());
    }

    private static LoggedState revokeKey(LoggedState state, KeyWithdrawn withdrawn) {
        String id = withdrawn.keyId();
        return state.withKeys(
                state.givenKeys().minus(id), state.withdrawnKeyIds().plus(id));
    }

    private static LoggedState changeEpoch(LoggedState state, Epoch epoch) {
        long current = state.epoch().map(Epoch::number).orElse(0L);
        if (epoch.number() != current + 1) {
            return state;
        }
        PVector<Epoch> epochs = state.epochs().plus(epoch);
        return state.withEpochs(
                withoutOldEpochs(epochs, state.settledEpoch()), state.settledEpoch(), state.forgotten());
    }

    /** Keeps the settled epoch and all later ones, because the losses of the later ones are not settled yet. */
    private static PVector<Epoch> withoutOldEpochs(PVector<Epoch> epochs, long settledEpoch) {
        PVector<Epoch> kept = epochs;
        while (kept.size() > EPOCHS_KEPT && kept.get(0).number() < settledEpoch) {
            kept = kept.minus(0);
        }
        return kept;
    }

    private static LoggedState settleEpoch(LoggedState state, EpochSettled settled) {
        long current = state.epoch().map(Epoch::number).orElse(0L);
        if (settled.number() <= state.settledEpoch() || settled.number() > current) {
            return state;
        }
        return state.withEpochs(state.epochs(), settled.number(), state.forgotten());
    }

    private static LoggedState forgetMembers(LoggedState state, MembersForgotten forgotten) {
        return state.withEpochs(
                state.epochs(), state.settledEpoch(), state.forgotten().plusAll(forgotten.members()));
    }

    private static LoggedState makeClaim(LoggedState state, ClaimMade claim, long timestampMillis) {
        LoggedClaim before = state.claims().get(claim.scope());
        List<String> givenBackIds = before == null ? List.of() : before.givenBackIds();
        boolean taken = before != null && !before.wasReleased();
        if (taken || givenBackIds.contains(claim.recordId())) {
            return state;
        }
        LoggedClaim logged = new LoggedClaim(claim, timestampMillis, false, Optional.empty(), givenBackIds);
        return state.withClaims(state.claims().plus(claim.scope(), logged));
    }

    private static LoggedState endClaim(LoggedState state, ClaimEnded ended) {
        LoggedClaim logged = state.claims().get(ended.scope());
        boolean matches =
                logged != null && !logged.ended() && logged.claim().recordId().equals(ended.claimId());
        if (!matches) {
            return state;
        }
        List<String> givenBackIds = new ArrayList<>(logged.givenBackIds());
        if (ended.answer().isEmpty()) {
            givenBackIds.add(ended.claimId());
        }
        LoggedClaim after = new LoggedClaim(
                logged.claim(), logged.claimedAtMillis(), true, ended.answer(), List.copyOf(givenBackIds));
        return state.withClaims(state.claims().plus(ended.scope(), after));
    }

    private LoggedState expireClaims(LoggedState state) {
        PMap<String, LoggedClaim> kept = state.claims();
        for (LoggedClaim claim : state.claims().values()) {
            if (claim.claimedAtMillis() + claimWindowMillis < state.logTimeMillis()) {
                kept = kept.minus(claim.claim().scope());
            }
        }
        return state.withClaims(kept);
    }

    private static LoggedState recordOrder(LoggedState state, OrderIntended order, LogEntry entry) {
        LoggedOrder last = state.orders().get(order.target());
        long lastSequence = last == null ? 0 : last.order().sequence();
        if (order.sequence() != lastSequence + 1) {
            return state;
        }
        LoggedOrder logged = new LoggedOrder(order, entry.offset(), entry.timestampMillis(), false);
        return state.withOrders(state.orders().plus(order.target(), logged), state.residencies());
    }

    private static LoggedState resolveOrder(LoggedState state, OrderResolved resolved) {
        LoggedOrder last = state.orders().get(resolved.target());
        boolean matches = last != null && !last.resolved() && last.order().sequence() == resolved.sequence();
        if (!matches) {
            return state;
        }
        LoggedOrder ended = new LoggedOrder(last.order(), last.offset(), last.loggedAtMillis(), true);
        PMap<String, LoggedOrder> orders = state.orders().plus(resolved.target(), ended);
        boolean reportsTell = resolved.fromReport()
                || (resolved.done() && last.order().items().isEmpty());
        if (!resolved.done() && !reportsTell) {
            return state.withOrders(orders, state.residencies());
        }
        LoggedResidency before = state.residencies().get(resolved.target());
        LoggedResidency after = reportsTell
                ? new LoggedResidency(resolved.target(), resolved.engineRun(), List.of(), List.of())
                : afterOrder(before, last.order(), resolved.engineRun());
        return state.withOrders(orders, state.residencies().plus(resolved.target(), after));
    }

    private static LoggedResidency afterOrder(LoggedResidency before, OrderIntended order, String engineRun) {
        boolean sameRun = before != null && before.engineRun().equals(engineRun);
        List<OrderItem> resident = new ArrayList<>(sameRun ? before.items() : List.of());
        List<String> unloaded = new ArrayList<>(sameRun ? before.unloaded() : List.of());
        for (OrderItem item : order.items()) {
            resident.removeIf(other -> other.name().equals(item.name()));
            unloaded.remove(item.name());
            if (item.loads()) {
                resident.add(item);
            } else {
                unloaded.add(item.name());
            }
        }
        return new LoggedResidency(order.target(), engineRun, List.copyOf(resident), List.copyOf(unloaded));
    }
}
