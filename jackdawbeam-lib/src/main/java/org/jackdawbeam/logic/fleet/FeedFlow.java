package org.jackdawbeam.logic.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;
import org.jackdawbeam.model.fleet.FleetConfiguration;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.TargetDescription;

/** Reads the configuration, target and member feeds of the platform's store and applies their changes. */
final class FeedFlow {
    private final QuarantineFlow quarantine;

    FeedFlow(QuarantineFlow quarantine) {
        this.quarantine = quarantine;
    }

    FleetState tick(FleetState state, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state;
        for (Feed feed : Feed.values()) {
            FeedState progress = next.feed(feed);
            if (!progress.readPending()
                    && nowMillis >= progress.nextReadAtMillis()
                    && HubFlow.readsDirectly(next, feed, nowMillis)) {
                next = next.with(feed, progress.readSent(nowMillis));
                next = feed == Feed.CONFIGURATION ? next.withConfigurationReadStarted() : next;
                effects.add(new FleetEffect.ReadFeed(feed, progress.nextOffset(), waitMillis(next, feed, nowMillis)));
            }
        }
        next = EvacuationFlow.tick(next, nowMillis, effects);
        return announce(dropExpiredTargets(next, nowMillis, effects), effects);
    }

    FleetState onRead(FleetState state, FleetEvent.FeedRead event, List<FleetEffect> effects) {
        FeedState before = state.feed(event.feed());
        if (before.failures() > 0) {
            effects.add(FleetEffect.Note.of("store_regained", "feed", event.feed(), "failures", before.failures()));
        }
        long nextReadAt = event.feed() == Feed.TARGETS
                ? Math.max(event.nowMillis(), event.askedAtMillis() + targetsReadInterval(before, event.nowMillis()))
                : event.nowMillis();
        FleetState checked = event.feed() == Feed.CONFIGURATION ? checkConfigurationVersion(state, event) : state;
        FeedState answered = event.feed() == Feed.CONFIGURATION
                        && checked.storeEra().configurationBehind()
                ? before.readSucceededButStale(event.nowMillis(), event.nextOffset(), nextReadAt)
                : before.readSucceeded(event.nowMillis(), event.askedAtMillis(), event.nextOffset(), nextReadAt);
        FleetState next = checked.with(event.feed(), answered);
        if (event.newest() && event.feed() == Feed.TARGETS) {
            next = removeUnlistedTargets(next, event, effects);
        }
        FleetState applied = applyAll(next, event.entries(), event.nowMillis(), effects);
        return EvacuationFlow.onRead(state, applied, event, effects);
    }

    /**
     * Checks whether a restored store holds an older configuration than this entry has seen. Until the newer one has
     * been written again, a read does not prove that no key was withdrawn in the meantime.
     */
    private static FleetState checkConfigurationVersion(FleetState state, FleetEvent.FeedRead event) {
        OptionalLong newest = event.entries().stream()
                .filter(FeedEntry.Configuration.class::isInstance)
                .mapToLong(entry ->
                        ((FeedEntry.Configuration) entry).configuration().version())
                .max();
        boolean behind = event.newest() || newest.isPresent()
                ? state.configuration().isPresent()
                        && newest.orElse(-1) < state.configuration().get().version()
                : state.storeEra().configurationBehind();
        boolean neverRestored = state.storeEra().sinceMillis() == Long.MIN_VALUE;
        return neverRestored ? state : state.with(state.storeEra().withConfigurationBehind(behind));
    }

    FleetState applyAll(FleetState state, List<FeedEntry> entries, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state;
        for (FeedEntry entry : entries) {
            next = apply(next, entry, nowMillis, effects);
        }
        return next;
    }

    FleetState onFailed(FleetState state, FleetEvent.FeedFailed event, List<FleetEffect> effects) {
        FeedState before = state.feed(event.feed());
        if (before.failures() == 0 && !event.historyGone()) {
            effects.add(FleetEffect.Note.of(
                    "store_lost",
                    "feed",
                    event.feed(),
                    "last_answer_age_ms",
                    before.freshAtMillis().isPresent()
                            ? event.nowMillis() - before.freshAtMillis().getAsLong()
                            : "none"));
        }
        long longestPause =
                event.feed() == Feed.TARGETS ? FleetTimings.MAX_TARGETS_RETRY_PAUSE : FleetTimings.MAX_RETRY_PAUSE;
        long pause = event.historyGone() ? 0 : Math.min(longestPause, FleetTimings.retryPauseMillis(before.failures()));
        return state.with(
                event.feed(), before.readFailed(event.nowMillis(), event.historyGone(), event.nowMillis() + pause));
    }

    private static long targetsReadInterval(FeedState targets, long nowMillis) {
        return nowMillis < targets.renewalsUntilMillis(nowMillis)
                ? FleetTimings.RENEWAL_READ_INTERVAL
                : FleetTimings.TARGETS_READ_INTERVAL;
    }

    FleetState onAnnounced(FleetState state, FleetEvent.AnnouncementEnded event) {
        return state.with(event.accepted() ? Announcement.CONFIRMED : Announcement.PENDING);
    }

    /** Returns whether the configuration is recent enough to rule out withdrawn keys, so that keys may be accepted. */
    static boolean withdrawalsUpToDate(FleetState state, long nowMillis) {
        return nowMillis < withdrawalsValidUntilMillis(state);
    }

    /** Returns the time until which the latest configuration read is recent enough to rule out withdrawn keys. */
    static long withdrawalsValidUntilMillis(FleetState state) {
        long limit = state.bounds().revokeMillis() - FleetTimings.REVOKE_MARGIN;
        OptionalLong fresh = state.feed(Feed.CONFIGURATION).freshAtMillis();
        return fresh.isPresent() ? fresh.getAsLong() + limit : Long.MIN_VALUE;
    }

    private static FleetState announce(FleetState state, List<FleetEffect> effects) {
        if (state.announcement() != Announcement.PENDING || !(state.stop() instanceof StopStage.Serving)) {
            return state;
        }
        effects.add(new FleetEffect.Announce(state.self()));
        return state.with(Announcement.SENT);
    }

    private static long waitMillis(FleetState state, Feed feed, long nowMillis) {
        boolean afterFailure = state.feed(feed).failures() > 0;
        boolean hasHub = !FleetTimings.isFullMesh(state.memberCount()) && !HubFlow.isHub(state);
        if (afterFailure || hasHub) {
            return 0;
        }
        return switch (feed) {
            case CONFIGURATION ->
                HubFlow.isHub(state) || FreshnessFlow.isReader(state, nowMillis)
                        ? FleetTimings.READER_CONFIGURATION_WAIT
                        : FleetTimings.CONFIGURATION_WAIT;
            case TARGETS -> FleetTimings.TARGETS_WAIT;
            case MEMBERS -> FleetTimings.MEMBERS_WAIT;
            case QUARANTINE -> 0;
        };
    }

    private FleetState apply(FleetState state, FeedEntry entry, long nowMillis, List<FleetEffect> effects) {
        return switch (entry) {
            case FeedEntry.Configuration update -> applyConfiguration(state, update.configuration(), effects);
            case FeedEntry.Target update -> applyTarget(state, update.description(), nowMillis, effects);
            case FeedEntry.TargetRemoved removed -> removeTarget(state, removed.id(), nowMillis, effects);
            case FeedEntry.Member update -> applyMember(state, update.member(), nowMillis, effects);
            case FeedEntry.MemberRemoved removed -> removeMember(state, removed.id(), effects);
            case FeedEntry.Quarantined quarantined ->
                quarantine.onStoredEntry(state, quarantined.parts(), nowMillis, effects);
            case FeedEntry.QuarantineRemoved removed -> state;
            case FeedEntry.ZoneEvacuated evacuated -> state;
            case FeedEntry.ZoneEvacuationEnded ended -> state;
            case FeedEntry.Unreadable unreadable -> {
                effects.add(
                        FleetEffect.Note.of("entry_ignored", "key", unreadable.key(), "reason", unreadable.reason()));
                yield state;
            }
        };
    }

    /** Ignores older configurations, which the store may return after its history was cut. */
    private static FleetState applyConfiguration(
            FleetState state, FleetConfiguration update, List<FleetEffect> effects) {
        long known = state.configuration().map(FleetConfiguration::version).orElse(-1L);
        if (update.version() <= known) {
            return state;
        }
        effects.add(FleetEffect.Note.of(
                "configuration_changed",
                "version",
                update.version(),
                "previous",
                known,
                "workspaces",
                update.workspaces().size(),
                "services",
                update.services().size()));
        return state.with(update);
    }

    private static FleetState applyTarget(
            FleetState state, TargetDescription update, long nowMillis, List<FleetEffect> effects) {
        FleetTarget known = state.targets().get(update.id());
        boolean changed = known == null
                || known.description().leaving() != update.leaving()
                || known.description().startedAtMillis() != update.startedAtMillis();
        if (changed) {
            effects.add(FleetEffect.Note.of(
                    "target_listed",
                    "target",
                    update.id(),
                    "service",
                    update.service(),
                    "address",
                    update.address(),
                    "leaving",
                    update.leaving(),
                    "started_at",
                    update.startedAtMillis(),
                    "models",
                    String.join("+", update.models())));
        }
        FleetTarget listed = known == null ? FleetTarget.of(update) : known.withDescription(update, nowMillis);
        return state.with(WarmUpFlow.onListed(state, Optional.ofNullable(known), listed, update, nowMillis, effects));
    }

    private static FleetState removeUnlistedTargets(
            FleetState state, FleetEvent.FeedRead event, List<FleetEffect> effects) {
        Set<String> listed = new HashSet<>();
        for (FeedEntry entry : event.entries()) {
            if (entry instanceof FeedEntry.Target target) {
                listed.add(target.description().id());
            }
        }
        FleetState next = state;
        for (String id : state.targets().keySet()) {
            next = listed.contains(id) ? next : removeTarget(next, id, event.nowMillis(), effects);
        }
        return next;
    }

    private static FleetState removeTarget(FleetState state, String id, long nowMillis, List<FleetEffect> effects) {
        FleetTarget target = state.targets().get(id);
        if (target == null || target.goneAtMillis().isPresent()) {
            return state;
        }
        long goneAt = Math.max(nowMillis, renewalsUntilMillis(state, nowMillis));
        effects.add(FleetEffect.Note.of("target_removed", "target", id, "gone_in_ms", goneAt - nowMillis));
        return dropExpiredTargets(state.with(target.withGoneAt(goneAt)), nowMillis, effects);
    }

    /**
     * Returns the time until which a removed target may be listed again after an outage of the store. An entry that is
     * told of targets by its hub knows of outages from its reads of the configuration.
     */
    private static long renewalsUntilMillis(FleetState state, long nowMillis) {
        boolean readsTargets = FleetTimings.isFullMesh(state.memberCount()) || HubFlow.isHub(state);
        long targets = state.feed(Feed.TARGETS).renewalsUntilMillis(nowMillis);
        return readsTargets
                ? targets
                : Math.max(targets, state.feed(Feed.CONFIGURATION).renewalsUntilMillis(nowMillis));
    }

    private static FleetState dropExpiredTargets(FleetState state, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state;
        for (Map.Entry<String, FleetTarget> entry : state.targets().entrySet()) {
            FleetTarget target = entry.getValue();
            if (target.goneAtMillis().isPresent()
                    && nowMillis >= target.goneAtMillis().getAsLong()) {
                next = next.withTargets(next.targets().minus(entry.getKey()))
                        .with(next.placement().without(entry.getKey()));
                effects.add(new FleetEffect.ForgetTarget(target.description().address()));
            }
        }
        return next;
    }

    private static FleetState applyMember(
            FleetState state, FleetMember member, long nowMillis, List<FleetEffect> effects) {
        if (member.id().equals(state.self().id())) {
            boolean currentIncarnation =
                    member.incarnation().equals(state.self().incarnation());
            return currentIncarnation ? state : state.with(Announcement.PENDING);
        }
        Optional<FleetPeer> known = Optional.ofNullable(state.peers().get(member.id()));
        if (known.isPresent() && known.get().member().equals(member)) {
            return state;
        }
        effects.add(FleetEffect.Note.of(
                "member_joined", "member", member.id(), "peer_address", member.peerAddress(), "zone", member.zone()));
        return state.withPeers(state.peers().plus(member.id(), FleetPeer.announced(member, nowMillis)));
    }

    private static FleetState removeMember(FleetState state, String memberId, List<FleetEffect> effects) {
        if (memberId.equals(state.self().id())) {
            return state.with(Announcement.PENDING);
        }
        if (!state.peers().containsKey(memberId)) {
            return state;
        }
        effects.add(FleetEffect.Note.of("member_left", "member", memberId));
        return state.withPeers(state.peers().minus(memberId));
    }
}
