package org.jackdawbeam.logic.configuration;

/**
 * Identifies a key presented by a caller. The key itself is not passed on by the HTTP layer.
 *
 * @param keyId public id of the key
 * @param sha256 lower-case hexadecimal SHA-256 of the whole key
 */
public record KeyCredential(String keyId, String sha256) {}
