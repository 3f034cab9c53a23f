package org.jackdawbeam.logic.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.jackdawbeam.model.bundle.Bundle;
import org.jackdawbeam.model.bundle.KeySpecification;
import org.jackdawbeam.model.log.LogEntry;
import org.jackdawbeam.model.log.LogRecord;
import org.jackdawbeam.model.log.LogRecord.BundleRolled;
import org.jackdawbeam.model.log.LogRecord.ClaimEnded;
import org.jackdawbeam.model.log.LogRecord.ClaimMade;
import org.jackdawbeam.model.log.LogRecord.KeyGiven;
import org.jackdawbeam.model.log.LogRecord.KeyWithdrawn;
import org.jackdawbeam.model.log.LogRecord.OrderIntended;
import org.jackdawbeam.model.log.LogRecord.OrderResolved;
import org.jackdawbeam.model.log.LogRecord.SnapshotTaken;
import org.jackdawbeam.model.log.OrderAction;
import org.jackdawbeam.model.log.OrderItem;
import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.request.StoredAnswer;
import org.junit.jupiter.api.Test;

class LogReducerTest {
    private static final long WINDOW_MILLIS = 1_000;
    private static final Member MEMBER = new Member("a", 1, "zone", "url", "a:1");
    private static final StoredAnswer ANSWER = new StoredAnswer(200, "text/plain", "b2s=");
    private final LogReducer reducer = new LogReducer(
            bundle -> bundle.signature().equals("good"), document -> Optional.of(bundle(document)), WINDOW_MILLIS);

    @Test
    void firstOfTwoCompetingBundlesWins() {
        LoggedState state = reduce(bundle("one", 0, "good"), bundle("two", 0, "good"));

        assertThat(state.version()).isEqualTo(1);
        assertThat(state.bundle().orElseThrow().name()).isEqualTo("one");
    }

    @Test
    void bundleWithInvalidSignatureIsIgnored() {
        assertThat(reduce(bundle("one", 0, "forged")).version()).isZero();
    }

    @Test
    void repeatedBundleChangesNothing() {
        BundleRolled first = bundle("one", 0, "good");

        assertThat(reduce(first, bundle("two", 1, "good"), first)
                        .bundle()
                        .orElseThrow()
                        .name())
                .isEqualTo("two");
    }

    @Test
    void withdrawnKeyCannotBeAddedAgain() {
        KeyGiven added = new KeyGiven("g", new KeySpecification("k", "hash", "w"));

        LoggedState state = reduce(added, new KeyWithdrawn("w", "k"), added);

        assertThat(state.givenKeys()).isEmpty();
        assertThat(state.withdrawnKeyIds()).containsExactly("k");
    }

    @Test
    void firstClaimWinsAndRepeatsChangeNothing() {
        LoggedState state = reduce(claim("one"), claim("two"), claim("one"));

        assertThat(state.claims().get("scope").claim().recordId()).isEqualTo("one");
    }

    @Test
    void claimIsNotEndedByAnotherClaimId() {
        LoggedState state = reduce(claim("one"), new ClaimEnded("e", "scope", "two", Optional.of(ANSWER)));

        assertThat(state.claims().get("scope").ended()).isFalse();
    }

    @Test
    void releasedClaimCanBeMadeAgain() {
        LoggedState state = reduce(claim("one"), new ClaimEnded("e", "scope", "one", Optional.empty()), claim("two"));

        assertThat(state.claims().get("scope").claim().recordId()).isEqualTo("two");
    }

    @Test
    void repeatedAppendOfAReleasedClaimDoesNotReopenIt() {
        ClaimEnded released = new ClaimEnded("e", "scope", "one", Optional.empty());

        LoggedState state = reduce(claim("one"), released, claim("one"), claim("two"));

        assertThat(state.claims().get("scope").claim().recordId()).isEqualTo("two");
    }

    @Test
    void answeredClaimKeepsItsFirstAnswer() {
        StoredAnswer other = new StoredAnswer(500, "text/plain", "bm8=");
        LoggedState state = reduce(
                claim("one"),
                new ClaimEnded("e", "scope", "one", Optional.of(ANSWER)),
                new ClaimEnded("f", "scope", "one", Optional.of(other)));

        assertThat(state.claims().get("scope").answer()).contains(ANSWER);
    }

    @Test
    void secondOrderWithTheSameSequenceIsIgnored() {
        LoggedState state = reduce(order("one", 1, "x"), order("two", 1, "y"));

        assertThat(state.orders().get("engine").order().recordId()).isEqualTo("one");
        assertThat(state.orders().get("engine").offset()).isZero();
    }

    @Test
    void resolvedOrderChangesWhatIsResident() {
        LoggedState state = reduce(order("one", 1, "x"), new OrderResolved("r", "engine", 1, true, "run", false));

        assertThat(state.residencies().get("engine").items())
                .extracting(OrderItem::name)
                .containsExactly("x");
    }

    @Test
    void resolvedOrderWithoutItemsClearsLoggedResidency() {
        OrderIntended fencingOrder = new OrderIntended("f", "engine", 2, List.of(), MEMBER, 1_000);
        LoggedState state = reduce(
                order("one", 1, "x"),
                new OrderResolved("r", "engine", 1, true, "run", false),
                fencingOrder,
                new OrderResolved("s", "engine", 2, true, "run", false));

        assertThat(state.residencies().get("engine").items()).isEmpty();
    }

    @Test
    void snapshotRestoresTheState() {
        LoggedState state =
                reduce(bundle("one", 0, "good"), claim("c"), order("o", 1, "x"), new KeyWithdrawn("w", "k"));
        SnapshotTaken taken = new SnapshotTaken("s", state.nextOffset(), state.toSnapshot());

        LoggedState restored = reducer.reduce(LoggedState.empty(), new LogEntry(900, 5, taken));

        assertThat(restored).isEqualTo(state);
    }

    @Test
    void entryAfterGapIsIgnoredWithoutSnapshot() {
        LoggedState state = reducer.reduce(LoggedState.empty(), new LogEntry(7, 5, bundle("one", 0, "good")));

        assertThat(state).isEqualTo(LoggedState.empty());
    }

    @Test
    void olderSnapshotNeverReplacesANewerState() {
        LoggedState older = reduce(bundle("one", 0, "good"));
        LoggedState newer = reduce(bundle("one", 0, "good"), bundle("two", 1, "good"));

        assertThat(reducer.adopt(newer, older.toSnapshot())).isSameAs(newer);
    }

    private LoggedState reduce(LogRecord... records) {
        LoggedState state = LoggedState.empty();
        for (LogRecord record : records) {
            state = reducer.reduce(state, new LogEntry(state.nextOffset(), state.nextOffset(), record));
        }
        return state;
    }

    private static BundleRolled bundle(String name, long basedOn, String signature) {
        return new BundleRolled(name, basedOn, basedOn + 1, name, signature);
    }

    private static Bundle bundle(String name) {
        return new Bundle(name, null, null, null, null, null, null, null);
    }

    private static ClaimMade claim(String id) {
        return new ClaimMade(id, "scope", "digest", MEMBER);
    }

    private static OrderIntended order(String id, long sequence, String model) {
        OrderItem item = new OrderItem(OrderAction.LOAD_MODEL, model, 10);
        return new OrderIntended(id, "engine", sequence, List.of(item), MEMBER, 1_000);
    }
}
