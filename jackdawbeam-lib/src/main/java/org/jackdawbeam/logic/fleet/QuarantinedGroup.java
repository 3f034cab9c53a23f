package org.jackdawbeam.logic.fleet;

import java.util.Set;
import org.jackdawbeam.model.fleet.QuarantineScope;

/**
 * A group of prompt parts, or a request, that may be quarantined.
 *
 * @param ids ids of the parts, or the fingerprint of the request
 */
public record QuarantinedGroup(QuarantineScope scope, Set<Long> ids) {}
