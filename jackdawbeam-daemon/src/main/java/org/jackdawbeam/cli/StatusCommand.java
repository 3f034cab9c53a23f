package org.jackdawbeam.cli;

import java.util.concurrent.Callable;
import org.jackdawbeam.net.codec.MessageMapper;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Shows the state of an entry. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Shows the state of an entry: version, epoch, lease, shares, targets.",
        footer = {"", "Example:", "  jackdawbeam status --admin http://10.0.0.1:8082"})
final class StatusCommand implements Callable<Integer> {
    @Mixin
    private AdministrationClient administration = new AdministrationClient();

    @Override
    public Integer call() throws Exception {
        AdministrationClient.Response response = administration.call("GET", "status", "");
        if (!response.isSuccess()) {
            System.err.println(response.body());
            return Main.EXIT_FAILED;
        }
        var mapper = MessageMapper.json().objectMapper();
        System.out.println(
                mapper.writerWithDefaultPrettyPrinter().writeValueAsString(mapper.readTree(response.body())));
        return 0;
    }
}
