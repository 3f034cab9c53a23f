package org.jackdawbeam.cli;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.jackdawbeam.net.codec.MessageMapper;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Removes entries on hosts that have been switched off from the membership. */
@Command(
        name = "member",
        mixinStandardHelpOptions = true,
        description = "Manages the membership of entries where it cannot recover automatically.")
final class MemberCommand {

    @Command(
            name = "forget",
            mixinStandardHelpOptions = true,
            description = {
                "Declares that the entry on a host has been switched off permanently.",
                "Needed only if a majority of the entries was lost at once. Make sure that the host is really off:",
                "everything that it held is taken over by other entries immediately."
            },
            footer = {"", "Example:", "  jackdawbeam member forget riga-3 --admin http://10.0.0.1:8082"})
    int forget(
            @Parameters(paramLabel = "HOST", description = "Host id.") String host,
            @Mixin AdministrationClient administration) {
        byte[] body = MessageMapper.json().write(Map.of("hostId", host));
        return administration.callAndPrint("POST", "members/forget", new String(body, StandardCharsets.UTF_8));
    }
}
