package org.jackdawbeam.logic.configuration;

import org.jackdawbeam.model.bundle.Bundle;
import org.jackdawbeam.model.log.LogRecord.BundleRolled;

/**
 * The active configuration bundle.
 *
 * @param record the log record that activated the bundle
 * @param bundle the decoded document
 */
public record ActiveBundle(BundleRolled record, Bundle bundle) {

    /** Returns the version of the bundle. */
    public long version() {
        return record.version();
    }
}
