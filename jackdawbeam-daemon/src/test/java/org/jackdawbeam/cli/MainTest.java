package org.jackdawbeam.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MainTest {
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
    private final PrintStream systemErrors = System.err;

    @BeforeEach
    void captureErrors() {
        System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
    }

    @AfterEach
    void restoreErrors() {
        System.setErr(systemErrors);
    }

    @Test
    void allInvalidSettingsAreReportedTogether() {
        int exitCode = Main.run("entry", "--listen=nowhere", "--threads=0", "--operator-key-sha256=abc");

        String text = errors.toString(StandardCharsets.UTF_8);
        assertThat(exitCode).isEqualTo(Main.EXIT_INVALID);
        assertThat(text)
                .contains("flag=--host-id variable=JACKDAWBEAM_HOST_ID")
                .contains("flag=--listen")
                .contains("flag=--threads")
                .contains("flag=--operator-key-sha256")
                .contains("flag=--platform");
    }

    @Test
    void unknownFlagIsRejected() {
        assertThat(Main.run("entry", "--nonsense")).isEqualTo(Main.EXIT_INVALID);
    }

    @Test
    void invalidBundleNamesFileLineAndPath(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("bundle.yaml");
        Files.writeString(file, "name: x\nmodels: []\nworkspaces: 7\ntargets: []\n");

        int exitCode = Main.run("bundle", "validate", file.toString());

        assertThat(exitCode).isEqualTo(Main.EXIT_INVALID);
        assertThat(errors.toString(StandardCharsets.UTF_8))
                .contains("file=" + file)
                .contains("line=3")
                .contains("path=/workspaces");
    }

    @Test
    void exampleBundlesAreValid() {
        Path examples = Path.of("..", "examples");

        assertThat(Main.run("bundle", "validate", examples.resolve("riga.yaml").toString()))
                .isZero();
        assertThat(Main.run("bundle", "validate", examples.resolve("kochi.yaml").toString()))
                .isZero();
    }

    @Test
    void flagsDefaultToEnvironmentVariables() {
        EnvironmentDefaults defaults = new EnvironmentDefaults(Map.of("JACKDAWBEAM_HOST_ID", "riga-1"));

        assertThat(EnvironmentDefaults.variableName("--host-id")).isEqualTo("JACKDAWBEAM_HOST_ID");
        assertThat(defaults.defaultValue(new picocli.CommandLine(new EntryCommand())
                        .getCommandSpec()
                        .findOption("--host-id")))
                .isEqualTo("riga-1");
    }
}
