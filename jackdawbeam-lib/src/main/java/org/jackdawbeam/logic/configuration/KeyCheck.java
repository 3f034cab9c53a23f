package org.jackdawbeam.logic.configuration;

import org.jackdawbeam.model.refusal.RefusalCode;

/** Result of checking a workspace key. */
public sealed interface KeyCheck {

    /** The key grants access to the given workspace. */
    record Accepted(String keyId, String workspace) implements KeyCheck {}

    /** The key is not valid. */
    record Rejected(RefusalCode code) implements KeyCheck {}
}
