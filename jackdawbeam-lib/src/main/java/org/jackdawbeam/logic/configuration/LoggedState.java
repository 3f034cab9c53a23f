package org.jackdawbeam.logic.configuration;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jackdawbeam.model.bundle.Bundle;
import org.jackdawbeam.model.bundle.KeySpecification;
import org.jackdawbeam.model.log.LogRecord.BundleRolled;
import org.jackdawbeam.model.log.LogRecord.LoggedClaim;
import org.jackdawbeam.model.log.LogRecord.LoggedOrder;
import org.jackdawbeam.model.log.LogRecord.LoggedResidency;
import org.jackdawbeam.model.log.LogRecord.LoggedSnapshot;
import org.jackdawbeam.model.member.Epoch;
import org.jackdawbeam.model.member.Member;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * State replicated through the platform's log. Two entries that have read to the same offset have equal states.
 *
 * @param nextOffset offset of the next record to apply
 * @param logTimeMillis time of the last applied record by the clock of the log service
 * @param givenKeys keys added by operators in addition to those of the bundle, by key id
 * @param withdrawnKeyIds ids of withdrawn keys, which cannot be reactivated
 * @param epochs recent epochs in order; the last one is current
 * @param settledEpoch number of the latest epoch whose former members no longer use what they held
 * @param forgotten process runs that an operator has declared to be stopped
 * @param claims claims by scope
 * @param orders latest order by target
 * @param residencies models and adapters loaded by resolved orders, by target
 */
public record LoggedState(
        long nextOffset,
        long logTimeMillis,
        Optional<ActiveBundle> activeBundle,
        PMap<String, KeySpecification> givenKeys,
        PSet<String> withdrawnKeyIds,
        PVector<Epoch> epochs,
        long settledEpoch,
        PVector<Member> forgotten,
        PMap<String, LoggedClaim> claims,
        PMap<String, LoggedOrder> orders,
        PMap<String, LoggedResidency> residencies) {

    /** Returns the state before the first record. */
    public static LoggedState empty() {
        return new LoggedState(
                0,
                0,
                Optional.empty(),
                HashTreePMap.empty(),
                HashTreePSet.empty(),
                TreePVector.empty(),
                0,
                TreePVector.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty());
    }

    /** Returns the active bundle. */
    public Optional<Bundle> bundle() {
        return activeBundle.map(ActiveBundle::bundle);
    }

    /** Returns the active bundle version, or zero if there is no bundle yet. */
    public long version() {
        return activeBundle.map(ActiveBundle::version).orElse(0L);
    }

    /** Returns the current epoch. */
    public Optional<Epoch> epoch() {
        return epochs.isEmpty() ? Optional.empty() : Optional.of(epochs.get(epochs.size() - 1));
    }

    /** Returns the serializable form for a snapshot. */
    public LoggedSnapshot toSnapshot() {
        Optional<BundleRolled> record = activeBundle.map(ActiveBundle::record);
        return new LoggedSnapshot(
                nextOffset,
                logTimeMillis,
                record,
                List.copyOf(givenKeys.values()),
                List.copyOf(withdrawnKeyIds),
                List.copyOf(epochs),
                settledEpoch,
                List.copyOf(forgotten),
                List.copyOf(claims.values()),
                List.copyOf(orders.values()),
                List.copyOf(residencies.values()));
    }

    /** Returns the state that a snapshot describes; the bundle must have been decoded by the caller. */
    static LoggedState fromSnapshot(LoggedSnapshot snapshot, Optional<ActiveBundle> bundle) {
        PMap<String, KeySpecification> keys = HashTreePMap.empty();
        for (KeySpecification key : snapshot.givenKeys()) {
            keys = keys.plus(key.id(), key);
        }
        PMap<String, LoggedClaim> claims = HashTreePMap.empty();
        for (LoggedClaim claim : snapshot.claims()) {
            claims = claims.plus(claim.claim().scope(), claim);
        }
        PMap<String, LoggedOrder> orders = HashTreePMap.empty();
        for (LoggedOrder order : snapshot.orders()) {
            orders = orders.plus(order.order().target(), order);
        }
        PMap<String, LoggedResidency> residencies = HashTreePMap.empty();
        for (LoggedResidency residency : snapshot.residencies()) {
            residencies = residencies.plus(residency.target(), residency);
        }
        return new LoggedState(
                snapshot.nextOffset(),
                snapshot.logTimeMillis(),
                bundle,
                keys,
                HashTreePSet.from(snapshot.withdrawnKeyIds()),
                TreePVector.from(snapshot.epochs()),
                snapshot.settledEpoch(),
                TreePVector.from(snapshot.forgotten()),
                claims,
                orders,
                residencies);
    }

    LoggedState withPosition(long offset, long timestampMillis) {
        Builder builder = new Builder(this);
        builder.nextOffset = offset;
        builder.logTimeMillis = timestampMillis;
        return builder.build();
    }

    LoggedState withBundle(ActiveBundle bundle) {
        Builder builder = new Builder(this);
        builder.activeBundle = Optional.of(bundle);
        return builder.build();
    }

    LoggedState withKeys(PMap<String, KeySpecification> given, PSet<String> withdrawn) {
        Builder builder = new Builder(this);
        builder.givenKeys = given;
        builder.withdrawnKeyIds = withdrawn;
        return builder.build();
    }

    LoggedState withEpochs(PVector<Epoch> recentEpochs, long settled, PVector<Member> forgottenMembers) {
        Builder builder = new Builder(this);
        builder.epochs = recentEpochs;
        builder.settledEpoch = settled;
        builder.forgotten = forgottenMembers;
        return builder.build();
    }

    LoggedState withClaims(PMap<String, LoggedClaim> newClaims) {
        Builder builder = new Builder(this);
        builder.claims = newClaims;
        return builder.build();
    }

    LoggedState withOrders(Map<String, LoggedOrder> newOrders, Map<String, LoggedResidency> newResidencies) {
        Builder builder = new Builder(this);
        builder.orders = HashTreePMap.from(newOrders);
        builder.residencies = HashTreePMap.from(newResidencies);
        return builder.build();
    }

    /** Mutable copy for building the next state. */
    private static final class Builder {
        private long nextOffset;
        private long logTimeMillis;
        private Optional<ActiveBundle> activeBundle;
        private PMap<String, KeySpecification> givenKeys;
        private PSet<String> withdrawnKeyIds;
        private PVector<Epoch> epochs;
        private long settledEpoch;
        private PVector<Member> forgotten;
        private PMap<String, LoggedClaim> claims;
        private PMap<String, LoggedOrder> orders;
        private PMap<String, LoggedResidency> residencies;

        Builder(LoggedState source) {
            nextOffset = source.nextOffset;
            logTimeMillis = source.logTimeMillis;
            activeBundle = source.activeBundle;
            givenKeys = source.givenKeys;
            withdrawnKeyIds = source.withdrawnKeyIds;
            epochs = source.epochs;
            settledEpoch = source.settledEpoch;
            forgotten = source.forgotten;
            claims = source.claims;
            orders = source.orders;
            residencies = source.residencies;
        }

        LoggedState build() {
            return new LoggedState(
                    nextOffset,
                    logTimeMillis,
                    activeBundle,
                    givenKeys,
                    withdrawnKeyIds,
                    epochs,
                    settledEpoch,
                    forgotten,
                    claims,
                    orders,
                    residencies);
        }
    }
}
