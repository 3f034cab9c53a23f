package org.jackdawbeam.cli;

import java.util.Locale;
import java.util.Map;
import picocli.CommandLine.IDefaultValueProvider;
import picocli.CommandLine.Model.ArgSpec;
import picocli.CommandLine.Model.OptionSpec;

/** Reads omitted flags from the environment; JACKDAWBEAM_SOME_NAME is the variable of {@code --some-name}. */
final class EnvironmentDefaults implements IDefaultValueProvider {
    private static final String PREFIX = "JACKDAWBEAM_";

    private final Map<String, String> environment;

    EnvironmentDefaults(Map<String, String> environment) {
        this.environment = environment;
    }

    @Override
    public String defaultValue(ArgSpec argument) {
        if (!(argument instanceof OptionSpec option)) {
            return null;
        }
        String value = environment.get(variableName(option.longestName()));
        return value != null ? value : option.defaultValue();
    }

    static String variableName(String flag) {
        return PREFIX + flag.replaceFirst("^-+", "").replace('-', '_').toUpperCase(Locale.ROOT);
    }
}
