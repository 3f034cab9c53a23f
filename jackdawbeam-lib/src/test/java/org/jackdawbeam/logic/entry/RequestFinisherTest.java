package org.jackdawbeam.logic.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.jackdawbeam.logic.request.Request;
import org.jackdawbeam.logic.request.Work;
import org.jackdawbeam.model.bundle.RouteSpecification;
import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.request.Call.ServiceCall;
import org.jackdawbeam.model.request.StoredAnswer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RequestFinisherTest {
    private final RequestFinisher finisher = new RequestFinisher(new AppendFlow(EntryOptions.defaults()));
    private final EntryState state = EntryState.starting(new Member("a", 1, "zone", "http://a", "a:1"), 0);

    private StoredAnswer replayed(StoredAnswer stored) {
        ServiceCall call = new ServiceCall("/pay", Optional.of("key"), "digest");
        RouteSpecification route = new RouteSpecification("pay", "pay", false, false, 1, List.of());
        Request request =
                Request.arrived(1, 0, 5_000, Optional.empty(), Optional.empty(), new Work.Service(call, route));
        Effect effect = finisher.replay(state, request, stored, 0).effects().getFirst();
        return ((Effect.ReplayAnswer) effect).answer();
    }

    // Guards against an answer that an earlier version stored without checking its status.
    @ParameterizedTest
    @ValueSource(ints = {-200, 0, 20, 99, 600, 2_000})
    void storedAnswerWithoutAValidStatusIsReplayedAsAnUnknownOutcome(int status) {
        assertThat(replayed(new StoredAnswer(status, "text/plain", "b2s=")).status())
                .isEqualTo(502);
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 304, 404, 599})
    void storedAnswerWithAValidStatusIsReplayedUnchanged(int status) {
        StoredAnswer stored = new StoredAnswer(status, "text/plain", "b2s=");

        assertThat(replayed(stored)).isEqualTo(stored);
    }
}
