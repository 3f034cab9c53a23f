package org.jackdawbeam.net.codec;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.FleetMessage.LeadershipClaim;
import org.jackdawbeam.model.fleet.FleetMessage.MemberStatus;
import org.jackdawbeam.model.fleet.FleetMessage.TargetWork;
import org.junit.jupiter.api.Test;

class BulletinSizeTest {
    private static final double BULLETINS_PER_SECOND = 1_000 / 300.0;
    private static final double CONTROL_BYTES_PER_SECOND = 16 * 1_024; // the users' limit on control traffic per host
    private static final int MEMBERS = 80;
    private static final int TARGETS = 63;

    private static MemberStatus status(int number) {
        String id = "front-" + number;
        FleetMember member = new FleetMember(
                id,
                id + "/3f2b8f0e-5f0a-4b53-9f4e-0a8f0a1d2c3b",
                "riga-a",
                "10.1.0." + number + ":30000",
                "10.1.0." + number + ":8221",
                100);
        return new MemberStatus(member, true, false, Optional.of(new LeadershipClaim(7, 1_000)));
    }

    private static int bytes(List<MemberStatus> changed) {
        Set<String> present = IntStream.range(0, MEMBERS)
                .mapToObj(number -> "front-" + number)
                .collect(Collectors.toSet());
        List<TargetWork> work = IntStream.range(0, TARGETS)
                .mapToObj(number -> new TargetWork("i-188892ee" + number, 12, 3_000, Set.of()))
                .toList();
        FleetMessage bulletin =
                new FleetMessage.Bulletin("front-1", present, changed, work, List.of(), Optional.empty());
        return MessageMapper.messagePack().write(bulletin).length;
    }

    @Test
    void bulletinsOfEightyMembersStayWithinTheControlTrafficLimit() {
        assertThat(bytes(List.of(status(1))) * BULLETINS_PER_SECOND).isLessThanOrEqualTo(CONTROL_BYTES_PER_SECOND);
    }
}
