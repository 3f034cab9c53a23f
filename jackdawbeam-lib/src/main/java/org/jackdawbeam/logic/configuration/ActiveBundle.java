package org.jackdawbeam.logic.configuration;

import org.jackdawbeam.model.bundle.Bundle;
import org.jackdawbeam.model.log.LogRecord.BundleRolled;

/**
 * The configuration that is in force.
 *
 * @param record the record as it stands in the log
 * @param bundle the decoded document
 */
public record ActiveBundle(BundleRolled record, Bundle bundle) {

    /** Returns the version of the bundle. */
    public long version() {
        return record.version();
    }
}
