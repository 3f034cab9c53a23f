package org.jackdawbeam.bench.fleet;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;

/** Simulates the platform's store: feeds that keep the newest entry per key, and the leadership log for placement. */
public final class SimulatedStore {
    private final Map<Feed, Topic> topics = new EnumMap<>(Feed.class);
    private final List<String> holders = new ArrayList<>();
    private OptionalLong era = OptionalLong.empty();

    private static final class Topic {
        private final List<FeedEntry> history = new ArrayList<>();
        private final Map<String, FeedEntry> newest = new LinkedHashMap<>();
        private int first;
    }

    /** Entries from an offset, or the newest entry of each key. */
    record Read(boolean newest, List<FeedEntry> entries, long nextOffset) {}

    SimulatedStore() {
        for (Feed feed : Feed.values()) {
            topics.put(feed, new Topic());
        }
    }

    /** Writes an entry. */
    public void write(Feed feed, FeedEntry entry) {
        Topic topic = topics.get(feed);
        topic.history.add(entry);
        switch (entry) {
            case FeedEntry.Configuration news -> topic.newest.put("configuration", news);
            case FeedEntry.Target target ->
                topic.newest.put(target.description().id(), target);
            case FeedEntry.TargetRemoved removed -> topic.newest.remove(removed.id());
            case FeedEntry.Member member -> topic.newest.put(member.member().id(), member);
            case FeedEntry.MemberRemoved removed -> topic.newest.remove(removed.id());
            case FeedEntry.Quarantined quarantined ->
                topic.newest.put(quarantined.parts().parts().toString(), quarantined);
            case FeedEntry.QuarantineRemoved removed -> topic.newest.remove(removed.key());
            case FeedEntry.ZoneEvacuated evacuated -> topic.newest.put("evacuate/" + evacuated.zone(), evacuated);
            case FeedEntry.ZoneEvacuationEnded ended -> topic.newest.remove("evacuate/" + ended.zone());
            case FeedEntry.Unreadable unreadable -> {
                // Unreadable entries have no key.
            }
        }
    }

    Read newest(Feed feed) {
        Topic topic = topics.get(feed);
        return new Read(true, List.copyOf(topic.newest.values()), topic.history.size());
    }

    Optional<Read> read(Feed feed, long from) {
        Topic topic = topics.get(feed);
        if (from < topic.first || from > topic.history.size()) {
            return Optional.empty();
        }
        List<FeedEntry> entries = topic.history.subList((int) from, topic.history.size());
        return Optional.of(new Read(false, List.copyOf(entries), topic.history.size()));
    }

    void forgetHistory() {
        topics.values().forEach(topic -> topic.first = topic.history.size());
    }

    /** Backup of the contents of the store. */
    record Copy(Map<Feed, List<FeedEntry>> histories, List<String> holders) {}

    Copy copy() {
        Map<Feed, List<FeedEntry>> histories = new EnumMap<>(Feed.class);
        topics.forEach((feed, topic) -> histories.put(feed, List.copyOf(topic.history)));
        return new Copy(histories, List.copyOf(holders));
    }

    /** Makes responses include the era of the store from now on. */
    void reportEra() {
        era = OptionalLong.of(1);
    }

    OptionalLong era() {
        return era;
    }

    /** Restores a copy under a new era; later writes are lost and their offsets are reused. */
    void restore(Copy copy) {
        era = OptionalLong.of(era.orElse(0) + 1);
        holders.clear();
        holders.addAll(copy.holders());
        copy.histories().forEach((feed, entries) -> {
            topics.put(feed, new Topic());
            entries.forEach(entry -> write(feed, entry));
        });
    }

    /** Appends a holder of the placement duty if the log ends at the offset; returns whether it was appended. */
    boolean appendHolder(String holder, long atOffset) {
        if (atOffset != holders.size()) {
            return false;
        }
        holders.add(holder);
        return true;
    }

    List<String> holders(long from) {
        return List.copyOf(holders.subList((int) Math.min(from, holders.size()), holders.size()));
    }

    long holderEnd() {
        return holders.size();
    }
}
