package org.jackdawbeam.cli;

import org.jackdawbeam.model.error.JackdawbeamException;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Command line of jackdawbeam. */
@Command(
        name = "jackdawbeam",
        mixinStandardHelpOptions = true,
        version = "jackdawbeam 0.1.0",
        description = "Serves many models on fewer accelerators.",
        subcommands = {
            EntryCommand.class,
            BundleCommand.class,
            KeyCommand.class,
            MemberCommand.class,
            StatusCommand.class,
            ExplainCommand.class
        },
        footer = {
            "",
            "Exit codes: 0 success, 1 failed or refused, 2 invalid command line, settings or file.",
            "Every flag --some-name may also be given as the environment variable JACKDAWBEAM_SOME_NAME."
        })
public final class Main {
    /** Exit code for an operation that failed or was refused. */
    static final int EXIT_FAILED = 1;

    /** Exit code for invalid input. */
    static final int EXIT_INVALID = 2;

    /** Runs a command and exits with its exit code. */
    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    /** Runs a command and returns its exit code. */
    static int run(String... arguments) {
        CommandLine commandLine = new CommandLine(new Main());
        commandLine.setDefaultValueProvider(new EnvironmentDefaults(System.getenv()));
        commandLine.setCaseInsensitiveEnumValuesAllowed(true);
        commandLine.setExecutionExceptionHandler((exception, command, parsed) -> {
            String code = exception instanceof JackdawbeamException known
                    ? known.code().name()
                    : exception.getClass().getSimpleName();
            command.getErr().println("error code=" + code + " message=\"" + exception.getMessage() + "\"");
            return EXIT_FAILED;
        });
        return commandLine.execute(arguments);
    }
}
