package org.jackdawbeam.cli;

import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;
import org.jackdawbeam.model.bundle.KeySpecification;
import org.jackdawbeam.net.caller.KeyReader;
import org.jackdawbeam.net.codec.MessageMapper;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Issues, withdraws and lists workspace keys. */
@Command(
        name = "key",
        mixinStandardHelpOptions = true,
        description = "Issues, withdraws and lists workspace keys without interrupting traffic.",
        footer = {
            "",
            "Examples:",
            "  jackdawbeam key give riga-portal --admin http://10.0.0.1:8082",
            "  jackdawbeam key withdraw 4f1c22 --admin http://10.0.0.1:8082"
        })
final class KeyCommand {
    private static final int ID_BYTES = 6;
    private static final int SECRET_BYTES = 32;

    /** A new key: the full key for the caller and its specification for the log. */
    record NewKey(String key, KeySpecification specification) {}

    @Command(
            name = "give",
            mixinStandardHelpOptions = true,
            description = "Creates a new key and prints it; it cannot be shown again.")
    int give(
            @Parameters(paramLabel = "WORKSPACE", description = "Workspace that the key gives access to.")
                    String workspace,
            @Mixin AdministrationClient administration) {
        NewKey created = create(workspace, new SecureRandom());
        String body = new String(MessageMapper.json().write(created.specification()), StandardCharsets.UTF_8);
        int exitCode = administration.callAndPrint("POST", "keys", body);
        if (exitCode == 0) {
            System.out.println("KEY=" + created.key());
        }
        return exitCode;
    }

    @Command(name = "withdraw", mixinStandardHelpOptions = true, description = "Withdraws a key permanently.")
    int withdraw(
            @Parameters(paramLabel = "KEY_ID", description = "Middle part of the key, jdb_<id>_<secret>.") String id,
            @Mixin AdministrationClient administration) {
        return administration.callAndPrint("DELETE", "keys/" + id, "");
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "Lists key ids and their workspaces.")
    int list(@Mixin AdministrationClient administration) {
        return administration.callAndPrint("GET", "keys", "");
    }

    @Command(
            name = "hash",
            mixinStandardHelpOptions = true,
            description = "Creates a new key and prints the values for the bundle without contacting any entry.")
    int hash(@Option(names = "--workspace", required = true, description = "Workspace.") String workspace) {
        NewKey created = create(workspace, new SecureRandom());
        System.out.println("KEY=" + created.key());
        System.out.println("ID=" + created.specification().id());
        System.out.println("SHA256=" + created.specification().sha256());
        return 0;
    }

    static NewKey create(String workspace, SecureRandom random) {
        byte[] id = new byte[ID_BYTES];
        byte[] secret = new byte[SECRET_BYTES];
        random.nextBytes(id);
        random.nextBytes(secret);
        String keyId = HexFormat.of().formatHex(id);
        String key =
                "jdb_" + keyId + "_" + Base64.getUrlEncoder().withoutPadding().encodeToString(secret);
        String hash = KeyReader.sha256(key.getBytes(StandardCharsets.UTF_8));
        return new NewKey(key, new KeySpecification(keyId, hash, workspace));
    }
}
