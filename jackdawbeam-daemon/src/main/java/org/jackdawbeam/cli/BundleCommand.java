package org.jackdawbeam.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.net.bundle.BundleFile;
import org.jackdawbeam.net.bundle.BundleProblem;
import org.jackdawbeam.net.bundle.BundleSignatures;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.operator.AdministrationHandler.SignedBundle;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Validates, signs and rolls out bundles. */
@Command(
        name = "bundle",
        mixinStandardHelpOptions = true,
        description = "Validates, signs, rolls out and shows bundles.",
        footer = {
            "",
            "Examples:",
            "  jackdawbeam bundle keys > operators.keys",
            "  jackdawbeam bundle validate riga.yaml",
            "  jackdawbeam bundle sign-off riga.yaml --signing-key-file private.key --based-on 4 --out riga-5.json",
            "  jackdawbeam bundle roll riga-5.json --admin http://10.0.0.1:8082"
        })
final class BundleCommand {
    private final MessageMapper mapper = MessageMapper.json();

    @Command(
            name = "keys",
            mixinStandardHelpOptions = true,
            description = "Generates the operators' key pair for signing bundles.")
    int keys() {
        BundleSignatures.EncodedKeys keys = BundleSignatures.generate();
        System.out.println("PRIVATE_KEY=" + keys.privateKey());
        System.out.println("PUBLIC_KEY=" + keys.publicKey());
        return 0;
    }

    @Command(
            name = "validate",
            mixinStandardHelpOptions = true,
            description = "Checks a bundle and prints all its errors with file, line and path.")
    int validate(@Parameters(paramLabel = "FILE") Path file) {
        return switch (new BundleFile(mapper).read(text(file))) {
            case BundleFile.Result.Valid valid -> {
                System.out.println("valid file=" + file + " models="
                        + valid.bundle().models().size());
                yield 0;
            }
            case BundleFile.Result.Invalid invalid -> report(file, invalid.problems());
        };
    }

    @Command(name = "sign-off", mixinStandardHelpOptions = true, description = "Signs a valid bundle as a new version.")
    int signOff(
            @Parameters(paramLabel = "FILE") Path file,
            @Option(names = "--signing-key-file", required = true, description = "File with the private key.")
                    Path signingKey,
            @Option(
                            names = "--based-on",
                            required = true,
                            description = "Version in force; the signed bundle becomes the next version.")
                    long basedOn,
            @Option(names = "--out", required = true, description = "File for the signed bundle.") Path out) {
        return switch (new BundleFile(mapper).read(text(file))) {
            case BundleFile.Result.Valid valid -> {
                SignedBundle signed = sign(valid.document(), basedOn, text(signingKey));
                write(out, mapper.write(signed));
                System.out.println("signed version=" + signed.version() + " file=" + out);
                yield 0;
            }
            case BundleFile.Result.Invalid invalid -> report(file, invalid.problems());
        };
    }

    @Command(
            name = "roll",
            mixinStandardHelpOptions = true,
            description = "Puts a signed bundle into force on all entries.")
    int roll(@Parameters(paramLabel = "SIGNED_FILE") Path file, @Mixin AdministrationClient administration) {
        return administration.callAndPrint("POST", "bundles", text(file));
    }

    @Command(
            name = "rollback",
            mixinStandardHelpOptions = true,
            description = "Puts the content of an earlier signed bundle into force again, as a new version.")
    int rollback(
            @Parameters(paramLabel = "EARLIER_SIGNED_FILE") Path file,
            @Option(names = "--signing-key-file", required = true, description = "File with the private key.")
                    Path signingKey,
            @Option(names = "--based-on", required = true, description = "Version in force.") long basedOn,
            @Mixin AdministrationClient administration) {
        SignedBundle earlier = mapper.read(text(file).getBytes(StandardCharsets.UTF_8), SignedBundle.class);
        SignedBundle signed = sign(earlier.document(), basedOn, text(signingKey));
        return administration.callAndPrint("POST", "bundles", new String(mapper.write(signed), StandardCharsets.UTF_8));
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Shows the bundle in force.")
    int show(@Mixin AdministrationClient administration) {
        return administration.callAndPrint("GET", "bundle", "");
    }

    private static SignedBundle sign(String document, long basedOn, String signingKey) {
        long version = basedOn + 1;
        return new SignedBundle(basedOn, version, document, BundleSignatures.sign(signingKey, version, document));
    }

    private static int report(Path file, List<BundleProblem> problems) {
        for (BundleProblem problem : problems) {
            System.err.println("error code=BUNDLE_INVALID file=" + file + " line=" + problem.line() + " path="
                    + problem.path() + " problem=\"" + problem.message() + "\"");
        }
        return Main.EXIT_INVALID;
    }

    private static String text(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new JackdawbeamException(ErrorCode.BUNDLE_UNREADABLE, "cannot read " + file, e);
        }
    }

    private static void write(Path file, byte[] content) {
        try {
            Files.write(file, content);
        } catch (IOException e) {
            throw new JackdawbeamException(ErrorCode.BUNDLE_UNREADABLE, "cannot write " + file, e);
        }
    }
}
