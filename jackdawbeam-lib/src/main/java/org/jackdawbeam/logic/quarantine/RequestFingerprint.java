package org.jackdawbeam.logic.quarantine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Optional;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;

/**
 * Recognizes a request that a caller sends again. Requests with the same method, path, query, key, model, prompt parts
 * and body have the same fingerprint. It is a cryptographic digest, so that a caller cannot choose a body that passes
 * for another's request.
 */
public final class RequestFingerprint {
    private static final String ALGORITHM = "SHA-256";

    private RequestFingerprint() {}

    /**
     * Returns the first eight bytes of the digest.
     *
     * @param uri path and query
     * @param key key of the caller, if it sent one
     * @param model model and adapter as the caller named them, empty if it named none
     * @param prompt parts of the prompt as the caller listed them, empty if it listed none
     */
    public static long of(String method, String uri, Optional<String> key, String model, String prompt, byte[] body) {
        MessageDigest digest = digest();
        update(digest, method.getBytes(StandardCharsets.UTF_8));
        update(digest, uri.getBytes(StandardCharsets.UTF_8));
        update(digest, key.orElse("").getBytes(StandardCharsets.UTF_8));
        update(digest, model.getBytes(StandardCharsets.UTF_8));
        update(digest, prompt.getBytes(StandardCharsets.UTF_8));
        update(digest, body);
        byte[] bytes = digest.digest();
        long fingerprint = 0;
        for (int index = 0; index < Long.BYTES; index++) {
            fingerprint = fingerprint << Byte.SIZE | Byte.toUnsignedLong(bytes[index]);
        }
        return fingerprint;
    }

    /** Adds a field after its length, so that bytes moved from one field to the next change the digest. */
    private static void update(MessageDigest digest, byte[] field) {
        digest.update((field.length + ":").getBytes(StandardCharsets.US_ASCII));
        digest.update(field);
    }

    private static MessageDigest digest() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new JackdawbeamException(ErrorCode.INTERNAL, ALGORITHM + " is not available", e);
        }
    }
}
