package org.jackdawbeam.logic.configuration;

import java.util.Optional;
import org.jackdawbeam.model.bundle.Bundle;

/** Decodes a bundle document. Implementations must be pure functions of the document. */
@FunctionalInterface
public interface BundleDecoder {

    /** Returns the bundle, or empty if the document is not a valid bundle. */
    Optional<Bundle> decode(String document);
}
