package org.jackdawbeam.logic.configuration;

import org.jackdawbeam.model.log.LogRecord.BundleRolled;

/** Verifies that a bundle was signed by the operators. Implementations must be pure functions of the record. */
@FunctionalInterface
public interface SignatureVerifier {

    /** Returns whether the signature covers the version and the document. */
    boolean accepts(BundleRolled bundle);
}
