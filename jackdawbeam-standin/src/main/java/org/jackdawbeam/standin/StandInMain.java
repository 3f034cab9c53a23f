package org.jackdawbeam.standin;

import org.jackdawbeam.standin.engine.EngineCommand;
import org.jackdawbeam.standin.fleet.FleetCommand;
import org.jackdawbeam.standin.fleet.FleetSampleCommand;
import org.jackdawbeam.standin.load.LoadCommand;
import org.jackdawbeam.standin.platform.PlatformCommand;
import org.jackdawbeam.standin.service.ServiceCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Command line of the stand-ins, which emulate the platform, model engines and services. */
@Command(
        name = "jackdawbeam-standin",
        mixinStandardHelpOptions = true,
        version = "jackdawbeam-standin 0.1.0",
        description = "Emulates the external systems of jackdawbeam for trials, tests and benchmarks.",
        subcommands = {
            PlatformCommand.class,
            EngineCommand.class,
            ServiceCommand.class,
            LoadCommand.class,
            SampleCommand.class,
            AwaitCommand.class,
            FleetCommand.class,
            FleetSampleCommand.class
        })
public final class StandInMain {

    /** Executes a command and exits with its exit code. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new StandInMain()).execute(arguments));
    }
}
