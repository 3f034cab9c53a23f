package org.jackdawbeam.logic.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongConsumer;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;

/** An entry that reads the target list of a store that is away for a while; time advances in small steps. */
final class StoreOutage {
    private static final long STEP_MILLIS = 10;
    private static final long TICK_MILLIS = 50;
    private static final long RESPONSE_TIMEOUT_MILLIS = 900;

    final FleetFixture fixture;
    private final long awayFromMillis;
    private final long awayUntilMillis;
    private final boolean refuses;
    private final long answerMillis;
    private final List<Record> records = new ArrayList<>();
    private Optional<Read> pending = Optional.empty();
    private int nextRecord;

    private record Record(long atMillis, FeedEntry entry) {}

    private record Read(long askedAtMillis, long waitMillis) {}

    /**
     * Creates an outage.
     *
     * @param refuses whether the store refuses reads at once while it is away, instead of not answering them
     * @param answerMillis how long an answer of the store takes
     */
    StoreOutage(FleetFixture fixture, long awayFromMillis, long awayUntilMillis, boolean refuses, long answerMillis) {
        this.fixture = fixture;
        this.awayFromMillis = awayFromMillis;
        this.awayUntilMillis = awayUntilMillis;
        this.refuses = refuses;
        this.answerMillis = answerMillis;
    }

    void write(long atMillis, FeedEntry entry) {
        records.add(new Record(atMillis, entry));
    }

    /** Runs until the given time and calls the observer after each step. */
    void run(long untilMillis, LongConsumer observer) {
        while (fixture.nowMillis < untilMillis) {
            fixture.nowMillis += STEP_MILLIS;
            long now = fixture.nowMillis;
            pending.ifPresent(read -> progress(read, now));
            if (now % TICK_MILLIS == 0) {
                fixture.apply(new FleetEvent.Ticked(now));
                sendReads(now);
            }
            observer.accept(now);
        }
    }

    private void sendReads(long now) {
        fixture.all(FleetEffect.ReadFeed.class).stream()
                .filter(read -> read.feed() == Feed.TARGETS)
                .forEach(read -> pending = Optional.of(new Read(now, read.waitMillis())));
    }

    private void progress(Read read, long now) {
        boolean lost = isAwayWithin(read.askedAtMillis(), now);
        if (lost) {
            boolean refused = refuses && isAwayWithin(read.askedAtMillis(), read.askedAtMillis());
            long failsAt =
                    read.askedAtMillis() + (refused ? answerMillis : read.waitMillis() + RESPONSE_TIMEOUT_MILLIS);
            if (now >= failsAt) {
                pending = Optional.empty();
                fixture.apply(new FleetEvent.FeedFailed(now, Feed.TARGETS, false));
                sendReads(now);
            }
            return;
        }
        long answeredWith = now - answerMillis;
        List<FeedEntry> entries = records.subList(nextRecord, records.size()).stream()
                .filter(record -> record.atMillis() <= answeredWith)
                .map(Record::entry)
                .toList();
        boolean waited = answeredWith >= read.askedAtMillis() + read.waitMillis();
        if (answeredWith >= read.askedAtMillis() && (waited || !entries.isEmpty())) {
            pending = Optional.empty();
            nextRecord += entries.size();
            fixture.read(Feed.TARGETS, read.askedAtMillis(), entries.toArray(FeedEntry[]::new));
            sendReads(now);
        }
    }

    private boolean isAwayWithin(long fromMillis, long untilMillis) {
        return fromMillis < awayUntilMillis && untilMillis >= awayFromMillis;
    }
}
