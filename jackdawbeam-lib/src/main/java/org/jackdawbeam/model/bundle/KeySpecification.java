package org.jackdawbeam.model.bundle;

/**
 * A workspace key. Only its hash is stored.
 *
 * @param id public id of the key, the middle part of {@code jdb_<id>_<secret>}
 * @param sha256 lower-case hexadecimal SHA-256 of the whole key
 * @param workspace workspace that the key grants access to
 */
public record KeySpecification(String id, String sha256, String workspace) {}
