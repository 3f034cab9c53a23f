package org.jackdawbeam.logic.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.jackdawbeam.model.bundle.Bundle;
import org.jackdawbeam.model.bundle.KeySpecification;
import org.jackdawbeam.model.refusal.RefusalCode;
import org.pcollections.PSet;

/** Checks presented keys against the replicated state and against withdrawals that are not in the log yet. */
public final class KeyChecker {

    private KeyChecker() {}

    /** Returns the workspace of the key, or the reason for rejecting it. Hashes are compared in constant time. */
    public static KeyCheck check(LoggedState logged, PSet<String> pendingWithdrawals, KeyCredential credential) {
        String keyId = credential.keyId();
        Optional<KeySpecification> key = find(logged, keyId);
        boolean matches = key.isPresent() && sameHash(key.get().sha256(), credential.sha256());
        if (isWithdrawn(logged, pendingWithdrawals, keyId)) {
            return new KeyCheck.Rejected(RefusalCode.KEY_WITHDRAWN);
        }
        if (!matches) {
            return new KeyCheck.Rejected(RefusalCode.KEY_UNKNOWN);
        }
        return new KeyCheck.Accepted(keyId, key.get().workspace());
    }

    /** Returns whether the key has been withdrawn. */
    public static boolean isWithdrawn(LoggedState logged, PSet<String> pendingWithdrawals, String keyId) {
        return logged.withdrawnKeyIds().contains(keyId) || pendingWithdrawals.contains(keyId);
    }

    private static Optional<KeySpecification> find(LoggedState logged, String keyId) {
        KeySpecification given = logged.givenKeys().get(keyId);
        if (given != null) {
            return Optional.of(given);
        }
        return logged.bundle().map(Bundle::keys).stream()
                .flatMap(keys -> keys.stream())
                .filter(key -> key.id().equals(keyId))
                .findFirst();
    }

    private static boolean sameHash(String expected, String presented) {
        return MessageDigest.isEqual(
                expected.getBytes(StandardCharsets.US_ASCII), presented.getBytes(StandardCharsets.US_ASCII));
    }
}
