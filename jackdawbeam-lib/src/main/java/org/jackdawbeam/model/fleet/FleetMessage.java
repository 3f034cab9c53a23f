package org.jackdawbeam.model.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;

/** Messages between the entries of a fleet. The transport does not resend lost messages. */
public sealed interface FleetMessage {

    /** Returns the id of the sending member. */
    String sender();

    /**
     * Heartbeat with the current state of the sender.
     *
     * @param stampMillis the sender's own time, which {@link ConfigurationEnd} returns
     * @param ready whether callers may be sent to the sender
     * @param leaving whether it is about to stop
     * @param leadership proof that the sender holds the placement duty; empty otherwise
     * @param work requests that the sender has in flight at targets
     * @param demand requested prompt tokens per second, by service and model
     * @param quarantine recent changes of what the sender knows of prompt parts that may crash engines; empty if none
     */
    record Digest(
            String sender,
            FleetMember member,
            long stampMillis,
            boolean ready,
            boolean leaving,
            Optional<LeadershipClaim> leadership,
            List<TargetWork> work,
            List<ModelDemand> demand,
            Optional<QuarantineReport> quarantine)
            implements FleetMessage {
        public Digest {
            quarantine = presentOrEmpty(quarantine);
        }

        /** Returns the digest with other work. */
        public Digest withWork(List<TargetWork> other) {
            return new Digest(sender, member, stampMillis, ready, leaving, leadership, other, demand, quarantine);
        }
    }

    /**
     * Status of an entry as reported by other entries.
     *
     * @param ready whether callers may be sent to it
     * @param leaving whether it is about to stop
     * @param leadership proof that it holds the placement duty; empty otherwise
     */
    record MemberStatus(FleetMember member, boolean ready, boolean leaving, Optional<LeadershipClaim> leadership) {}

    /**
     * Status of the entries that report to one hub, with their aggregated work and demand. Hubs of a large fleet
     * exchange these messages.
     *
     * @param work work by target, summed over the entries
     * @param demand demand by model, summed over the entries
     * @param quarantine as in {@link Digest}
     */
    record GroupDigest(
            String sender,
            List<MemberStatus> members,
            List<TargetWork> work,
            List<ModelDemand> demand,
            Optional<QuarantineReport> quarantine)
            implements FleetMessage {
        public GroupDigest {
            quarantine = presentOrEmpty(quarantine);
        }

        /** Returns the digest with other work. */
        public GroupDigest withWork(List<TargetWork> other) {
            return new GroupDigest(sender, members, other, demand, quarantine);
        }
    }

    /**
     * Status of the whole fleet, sent by a hub to the entries that report to it.
     *
     * @param present ids of the members that have been heard from recently
     * @param changed members that are new or have changed since the sender's latest bulletin; periodically all members
     * @param work work by target of all entries, including the receiver
     * @param demand demand by model; sent only to the holder of the placement duty
     * @param quarantine as in {@link Digest}
     */
    record Bulletin(
            String sender,
            Set<String> present,
            List<MemberStatus> changed,
            List<TargetWork> work,
            List<ModelDemand> demand,
            Optional<QuarantineReport> quarantine)
            implements FleetMessage {
        public Bulletin {
            quarantine = presentOrEmpty(quarantine);
        }
    }

    /**
     * Feed entries that a hub has read from the store.
     *
     * @param storeEra era of the store that was read, if known; offsets of different eras are not comparable
     * @param fromOffset offset of the first feed entry
     * @param nextOffset offset after the last feed entry
     */
    record FeedNews(
            String sender, Feed feed, OptionalLong storeEra, long fromOffset, List<FeedEntry> entries, long nextOffset)
            implements FleetMessage {}

    /**
     * End offset of the configuration log, as read by a hub after it received a heartbeat from the receiver.
     *
     * @param incarnation incarnation of the receiver in that heartbeat
     * @param stampMillis time stamp of the receiver in that heartbeat
     * @param storeEra era of the store that was read, if known
     */
    record ConfigurationEnd(String sender, String incarnation, long stampMillis, OptionalLong storeEra, long nextOffset)
            implements FleetMessage {}

    /**
     * Update of the requests of the sender, sent between two heartbeats.
     *
     * @param work all requests of the sender in flight at targets
     */
    record WorkNotice(String sender, List<TargetWork> work) implements FleetMessage {}

    /** Whose requests a {@link WorkChange} counts. */
    enum WorkScope {
        /** The requests of the sender, sent to its hub. */
        ENTRY,
        /** The requests of the entries that report to the sender, sent to other hubs. */
        GROUP,
        /** The requests of all entries, sent by a hub to the entries that report to it. */
        FLEET
    }

    /**
     * Targets at which the requests in flight have changed since the sender's latest message, sent between two
     * heartbeats in a fleet with hubs. A lost message is made up for by the next heartbeat, which names all targets.
     *
     * @param changed all requests of the scope in flight at each of these targets, without adapters
     */
    record WorkChange(String sender, WorkScope scope, List<TargetWork> changed) implements FleetMessage {}

    /**
     * Proof that a member holds the placement duty.
     *
     * @param fencingToken fencing token of its orders
     * @param endOffset end offset of the leadership log after its latest renewal
     */
    record LeadershipClaim(long fencingToken, long endOffset) {}

    /**
     * Requests in flight at a target.
     *
     * @param running number of requests in flight
     * @param unreadTokens prompt tokens of requests whose response has not started
     * @param adapters adapters used by the requests, each as {@code model/adapter}
     */
    record TargetWork(String target, int running, long unreadTokens, Set<String> adapters) {

        /** Returns the work without the adapters that the requests use. */
        public TargetWork withoutAdapters() {
            return adapters.isEmpty() ? this : new TargetWork(target, running, unreadTokens, Set.of());
        }

        /** Returns the sum of the requests of both at the same target. */
        public TargetWork plus(TargetWork other) {
            return new TargetWork(
                    target,
                    running + other.running,
                    unreadTokens + other.unreadTokens,
                    union(adapters, other.adapters));
        }

        private static Set<String> union(Set<String> one, Set<String> other) {
            if (one.isEmpty() || other.isEmpty()) {
                return one.isEmpty() ? other : one;
            }
            Set<String> all = new HashSet<>(one);
            all.addAll(other);
            return Set.copyOf(all);
        }
    }

    /**
     * Demand for one model.
     *
     * @param tokensPerSecond requested prompt tokens per second
     * @param waiting number of requests that wait for a replica
     * @param waitedMillis how long the model has been asked for while no engine held it; 0 if one does
     */
    record ModelDemand(
            String service,
            String model,
            double tokensPerSecond,
            int waiting,
            double objectiveMillis,
            long waitedMillis) {

        /** Returns the sum of both demands for the same model, with its longest wait and its mean objective. */
        public ModelDemand plus(ModelDemand other) {
            double tokens = tokensPerSecond + other.tokensPerSecond;
            double objective = tokens == 0
                    ? objectiveMillis
                    : (objectiveMillis * tokensPerSecond + other.objectiveMillis * other.tokensPerSecond) / tokens;
            return new ModelDemand(
                    service,
                    model,
                    tokens,
                    waiting + other.waiting,
                    objective,
                    Math.max(waitedMillis, other.waitedMillis));
        }
    }

    /** Requests quota units from the entry that counts the units of a workspace. */
    record QuotaQuestion(String sender, long requestId, int round, String workspace, double units)
            implements FleetMessage {}

    /** Answers a request for quota units. */
    record QuotaAnswer(String sender, long requestId, int round, boolean granted, long retryAfterMillis)
            implements FleetMessage {}

    /** Returns the quota units of a request that was not executed. */
    record QuotaReturn(String sender, String workspace, double units) implements FleetMessage {}

    /** Asks the holder of the placement duty for a replica of a model or for an adapter on a given engine. */
    record PlacementWish(String sender, String service, String model, Optional<String> adapter, Optional<String> target)
            implements FleetMessage {}

    /** Models and adapters on an engine, as known to the holder of the placement duty. */
    record Residency(
            String sender,
            String target,
            long startedAtMillis,
            Set<String> models,
            Map<String, Set<String>> adaptersByModel,
            Set<String> unloading)
            implements FleetMessage {}

    /**
     * Reports that a target has announced in a response that it is about to leave.
     *
     * @param startedAtMillis Unix time of the target's start; the message does not apply to a later start
     */
    record TargetLeaving(String sender, String target, long startedAtMillis) implements FleetMessage {}

    /**
     * Reports that a target has stated in a response how many requests it accepts from all entries together.
     *
     * @param startedAtMillis Unix time of the target's start; the message does not apply to a later start
     * @param requestsPerSecond the limit; empty if the target states none any more
     */
    record TargetLimited(String sender, String target, long startedAtMillis, OptionalDouble requestsPerSecond)
            implements FleetMessage {}

    /** Returns the value, or empty if an older build has sent the message without it. */
    private static <T> Optional<T> presentOrEmpty(Optional<T> value) {
        return value == null ? Optional.empty() : value;
    }
}
