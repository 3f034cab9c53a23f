package org.jackdawbeam.model.fleet;

/** One entry of a feed of the platform's store. */
public sealed interface FeedEntry {

    /** A version of the configuration. */
    record Configuration(FleetConfiguration configuration) implements FeedEntry {}

    /** The description that a target published of itself. */
    record Target(TargetDescription description) implements FeedEntry {}

    /** A target has left or its registration has expired. */
    record TargetRemoved(String id) implements FeedEntry {}

    /** An entry host announced itself. */
    record Member(FleetMember member) implements FeedEntry {}

    /** An entry host has left. */
    record MemberRemoved(String id) implements FeedEntry {}

    /** A quarantined group of prompt parts. */
    record Quarantined(QuarantineReport.QuarantinedParts parts) implements FeedEntry {}

    /** A group of prompt parts is no longer quarantined. */
    record QuarantineRemoved(String key) implements FeedEntry {}

    /** The operator asks that nothing new be sent to the targets of an availability zone. */
    record ZoneEvacuated(String zone) implements FeedEntry {}

    /** The evacuation of an availability zone has been taken back. */
    record ZoneEvacuationEnded(String zone) implements FeedEntry {}

    /** An entry that cannot be decoded; other entries remain valid. */
    record Unreadable(String key, String reason) implements FeedEntry {}
}
