package org.jackdawbeam.logic.entry;

import java.util.List;
import org.jackdawbeam.model.log.LogRecord.KeyWithdrawn;
import org.jackdawbeam.model.peer.PeerMessage;

/**
 * Propagates withdrawals of API keys. Withdrawals only ever add to the set of withdrawn keys and commute, so that they
 * take effect immediately on the entry that accepts them, even while the log is unavailable.
 */
final class WithdrawalFlow {
    private static final long APPEND_DELAY_MILLIS = 2_000;

    private final AppendFlow appends;

    WithdrawalFlow(AppendFlow appends) {
        this.appends = appends;
    }

    /** Applies a withdrawal requested by an operator at this entry and notifies all peers. */
    static Transition start(EntryState state, long nowMillis, String keyId) {
        PeerMessage notice = new PeerMessage.WithdrawalNotice(state.membership().self(), keyId);
        List<Effect> sends = state.membership().others().stream()
                .map(member -> (Effect) new Effect.SendPeerMessage(member.peerAddress(), notice))
                .toList();
        return Transition.to(addPending(state, nowMillis, keyId)).withAll(sends);
    }

    /** Adds a withdrawal to the pending ones, unless it is already known. */
    static EntryState addPending(EntryState state, long nowMillis, String keyId) {
        boolean known = state.pendingWithdrawals().containsKey(keyId)
                || state.log().folded().withdrawnKeyIds().contains(keyId);
        if (known) {
            return state;
        }
        return state.withPendingWithdrawals(state.pendingWithdrawals().plus(keyId, nowMillis));
    }

    /** Removes pending withdrawals that are in the log and appends those that no other entry has logged in time. */
    Transition tick(EntryState state, long nowMillis) {
        Transition next = Transition.to(state);
        for (var pending : state.pendingWithdrawals().entrySet()) {
            String keyId = pending.getKey();
            if (state.log().folded().withdrawnKeyIds().contains(keyId)) {
                next = next.map(current -> current.withPendingWithdrawals(
                        current.pendingWithdrawals().minus(keyId)));
            } else if (nowMillis - pending.getValue() >= APPEND_DELAY_MILLIS && !isAppending(state, keyId)) {
                next = next.then(current -> appends.append(current, nowMillis, id -> new KeyWithdrawn(id, keyId)));
            }
        }
        return next;
    }

    private static boolean isAppending(EntryState state, String keyId) {
        return state.log()
                .isAppending(record -> record instanceof KeyWithdrawn withdrawn
                        && withdrawn.keyId().equals(keyId));
    }
}
