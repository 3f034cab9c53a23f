package org.jackdawbeam.net.codec;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.QuarantineReport;
import org.jackdawbeam.model.fleet.QuarantineScope;
import org.jackdawbeam.model.fleet.ServiceDefinition;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.jackdawbeam.model.log.LogRecord;
import org.jackdawbeam.model.member.Epoch;
import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.peer.PeerMessage;
import org.jackdawbeam.model.request.StoredAnswer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class MessageMapperTest {
    private static final Member MEMBER = new Member("a", 1, "zone", "http://a", "a:1");
    private static final StoredAnswer ANSWER = new StoredAnswer(200, "text/plain", "b2s=");

    static Stream<PeerMessage> peerMessages() {
        PeerMessage.Report report =
                new PeerMessage.Report(3, 2, false, 7, Map.of("w", 1.5), Map.of("m", 2.5), List.of("k"));
        return Stream.of(
                new PeerMessage.HeartbeatQuestion(MEMBER, 5, report),
                new PeerMessage.HeartbeatAnswer(MEMBER, 5, report),
                new PeerMessage.WithdrawalNotice(MEMBER, "k"),
                new PeerMessage.BorrowRequest(MEMBER, "l", "w", 2.5, 3),
                new PeerMessage.BorrowGrant(MEMBER, "l", "w", 2.5, 1),
                new PeerMessage.LoanEnded(MEMBER, "w", "l", 0.5),
                new PeerMessage.OutcomeQuestion(MEMBER, "s", "c"),
                new PeerMessage.OutcomeAnswer(MEMBER, "s", "c", Optional.of(ANSWER)),
                new PeerMessage.SnapshotRequest(MEMBER, 9));
    }

    static Stream<LogRecord> logRecords() {
        return Stream.of(
                new LogRecord.BundleRolled("r", 1, 2, "{}", "s"),
                new LogRecord.KeyWithdrawn("r", "k"),
                new LogRecord.EpochProposed("r", new Epoch(2, List.of(MEMBER), List.of())),
                new LogRecord.ClaimMade("r", "s", "d", MEMBER),
                new LogRecord.ClaimEnded("r", "s", "c", Optional.empty()),
                new LogRecord.OrderIntended("r", "t", 4, List.of(), MEMBER, 5),
                new LogRecord.OrderResolved("r", "t", 4, true, "run", false));
    }

    @ParameterizedTest
    @MethodSource("peerMessages")
    void peerMessagesRoundTripThroughMessagePack(PeerMessage message) {
        MessageMapper mapper = MessageMapper.messagePack();

        assertThat(mapper.read(mapper.write(message), PeerMessage.class)).isEqualTo(message);
    }

    @ParameterizedTest
    @MethodSource("logRecords")
    void logRecordsRoundTripThroughJson(LogRecord record) {
        MessageMapper mapper = MessageMapper.json();

        assertThat(mapper.read(mapper.write(record), LogRecord.class)).isEqualTo(record);
    }

    @Test
    void heartbeatWithEvidenceRoundTrips() {
        QuarantineReport report = new QuarantineReport(
                List.of(new QuarantineReport.EngineLoss(
                        "e1",
                        7,
                        20,
                        false,
                        List.of(new QuarantineReport.Suspect(1, 50, List.of(2L, -3L))),
                        Set.of(4L))),
                List.of(new QuarantineReport.QuarantinedParts(
                        QuarantineScope.PROMPT_PARTS, List.of(5L), 1, false, 30_000)),
                Optional.empty());
        FleetMessage heartbeat = heartbeat(Optional.of(report));
        MessageMapper mapper = MessageMapper.messagePack();

        assertThat(mapper.read(mapper.write(heartbeat), FleetMessage.class)).isEqualTo(heartbeat);
    }

    @Test
    void limitsOfTargetsRoundTrip() {
        MessageMapper mapper = MessageMapper.messagePack();
        for (OptionalDouble limit : List.of(OptionalDouble.of(1.1), OptionalDouble.empty())) {
            FleetMessage message = new FleetMessage.TargetLimited("a", "e1", 7, limit);

            assertThat(mapper.read(mapper.write(message), FleetMessage.class)).isEqualTo(message);
        }
    }

    // Messages of a build that knows nothing of cold targets.
    @Test
    void descriptionAndConfigurationWithoutWarmUpAreRead() throws IOException {
        MessageMapper mapper = MessageMapper.messagePack();
        TargetDescription target =
                new TargetDescription("t", "s", "10.0.0.1:1", "z", 1, false, Set.of(), Set.of(), 1, 0);
        ServiceDefinition service = new ServiceDefinition("s", 10, Optional.empty());

        assertThat(readWithout(mapper, target, "coldMillis", TargetDescription.class))
                .isEqualTo(target);
        assertThat(readWithout(mapper, service, "warmUp", ServiceDefinition.class))
                .isEqualTo(service);
    }

    private static <T> T readWithout(MessageMapper mapper, T value, String field, Class<T> type) throws IOException {
        ObjectNode tree = (ObjectNode) mapper.objectMapper().readTree(mapper.write(value));
        assertThat(tree.remove(field)).isNotNull();
        return mapper.read(mapper.objectMapper().writeValueAsBytes(tree), type);
    }

    @Test
    void changesOfLoadRoundTrip() {
        MessageMapper mapper = MessageMapper.messagePack();
        for (FleetMessage.WorkScope scope : FleetMessage.WorkScope.values()) {
            FleetMessage message = new FleetMessage.WorkChange(
                    "a", scope, List.of(new FleetMessage.TargetWork("e1", 3, 9_000, Set.of())));

            assertThat(mapper.read(mapper.write(message), FleetMessage.class)).isEqualTo(message);
        }
    }

    // Guards against builds that cannot read each other's heartbeats during an upgrade.
    @Test
    void heartbeatOfAnOlderBuildHasNoEvidence() {
        MessageMapper mapper = MessageMapper.messagePack();
        Map<?, ?> fields = mapper.read(mapper.write(heartbeat(Optional.empty())), Map.class);
        fields.remove("quarantine");

        assertThat(mapper.read(mapper.write(fields), FleetMessage.class)).isEqualTo(heartbeat(Optional.empty()));
    }

    private static FleetMessage heartbeat(Optional<QuarantineReport> report) {
        FleetMember member = new FleetMember("a", "a/1", "z", "a:1", "a:2", 100);
        return new FleetMessage.Digest("a", member, 5, true, false, Optional.empty(), List.of(), List.of(), report);
    }

    @Property(tries = 500, seed = "7")
    void arbitraryBytesGiveAMessageOrMalformedError(@ForAll byte[] bytes) {
        try {
            MessageMapper.messagePack().read(bytes, PeerMessage.class);
        } catch (JackdawbeamException e) {
            assertThat(e.code()).isEqualTo(ErrorCode.MESSAGE_MALFORMED);
        }
    }

    @Property(tries = 300, seed = "8")
    void corruptedMessagesGiveAMessageOrMalformedError(@ForAll byte noise, @ForAll short position) {
        MessageMapper mapper = MessageMapper.messagePack();
        byte[] bytes = mapper.write(new PeerMessage.BorrowRequest(MEMBER, "l", "w", 2.5, 3));
        bytes[Math.floorMod(position, bytes.length)] = noise;
        try {
            mapper.read(bytes, PeerMessage.class);
        } catch (JackdawbeamException e) {
            assertThat(e.code()).isEqualTo(ErrorCode.MESSAGE_MALFORMED);
        }
    }

    @Test
    void unknownTypeIsMalformed() {
        assertThatExceptionOfType(JackdawbeamException.class)
                .isThrownBy(() -> MessageMapper.json().read("{\"type\":\"Nobody\"}".getBytes(), LogRecord.class))
                .matches(failure -> failure.code() == ErrorCode.MESSAGE_MALFORMED);
    }

    // Guards against the heartbeats of a build that does not tell how long a model has been waited for.
    @Test
    void demandWithoutAWaitIsReadAsNoWait() {
        MessageMapper mapper = MessageMapper.messagePack();
        FleetMessage.ModelDemand demand = new FleetMessage.ModelDemand("engines", "m1", 1.5, 2, 600, 0);
        byte[] bytes = mapper.write(demand);

        assertThat(mapper.read(bytes, Map.class)).doesNotContainKey("waitedMillis");
        assertThat(mapper.read(bytes, FleetMessage.ModelDemand.class)).isEqualTo(demand);
    }

    @Test
    void demandTellsHowLongAModelHasBeenWaitedFor() {
        MessageMapper mapper = MessageMapper.messagePack();
        FleetMessage.ModelDemand demand = new FleetMessage.ModelDemand("engines", "m1", 1.5, 2, 600, 700);

        assertThat(mapper.read(mapper.write(demand), FleetMessage.ModelDemand.class))
                .isEqualTo(demand);
    }
}
