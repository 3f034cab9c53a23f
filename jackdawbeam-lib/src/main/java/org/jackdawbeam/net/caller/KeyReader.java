package org.jackdawbeam.net.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.jackdawbeam.logic.configuration.KeyCredential;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;

/** Reads bearer keys from requests. A workspace key has the form {@code jdb_<id>_<secret>}. */
public final class KeyReader {
    private static final String SCHEME = "Bearer ";
    private static final String KEY_PREFIX = "jdb_";

    private KeyReader() {}

    /** Returns the bearer key of a request, or nothing if it has none. */
    public static Optional<String> bearer(HttpHeaders headers) {
        String value = headers.get(HttpHeaderNames.AUTHORIZATION);
        boolean present = value != null && value.regionMatches(true, 0, SCHEME, 0, SCHEME.length());
        return present ? Optional.of(value.substring(SCHEME.length()).trim()) : Optional.empty();
    }

    /** Returns the id and hash of a key, without its secret. A malformed key gets an empty id, which is never valid. */
    public static KeyCredential credential(String key) {
        int end = key.indexOf('_', KEY_PREFIX.length());
        boolean wellFormed = key.startsWith(KEY_PREFIX) && end > KEY_PREFIX.length();
        String id = wellFormed ? key.substring(KEY_PREFIX.length(), end) : "";
        return new KeyCredential(id, sha256(key.getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns the SHA-256 of the concatenated parts in lower-case hexadecimal. */
    public static String sha256(byte[]... parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (byte[] part : parts) {
                digest.update(part);
            }
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new JackdawbeamException(ErrorCode.INTERNAL, "SHA-256 is not available", e);
        }
    }
}
