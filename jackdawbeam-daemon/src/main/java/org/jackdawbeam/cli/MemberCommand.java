package org.jackdawbeam.cli;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.jackdawbeam.net.codec.MessageMapper;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Tells the entries about hosts that are switched off. */
@Command(
        name = "member",
        mixinStandardHelpOptions = true,
        description = "Manages the membership of entries where it cannot manage itself.")
final class MemberCommand {

    @Command(
            name = "forget",
            mixinStandardHelpOptions = true,
            description = {
                "Declares that the entry on a host is switched off for good.",
                "Needed only if a majority of the entries was lost at once. Make sure that the host is really off:",
                "what it held is used by others at once."
            },
            footer = {"", "Example:", "  jackdawbeam member forget riga-3 --admin http://10.0.0.1:8082"})
    int forget(
            @Parameters(paramLabel = "HOST", description = "Host id.") String host,
            @Mixin AdministrationClient administration) {
        byte[] body = MessageMapper.json().write(Map.of("hostId", host));
        return administration.callAndPrint("POST", "members/forget", new String(body, StandardCharsets.UTF_8));
    }
}
