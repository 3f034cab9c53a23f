package org.jackdawbeam.cli;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.net.target.TargetAddress;

/** Collects everything that is wrong with the settings, so that all of it is reported at once. */
final class SettingsChecker {
    private final List<String> problems = new ArrayList<>();

    /** Returns what was wrong so far. */
    List<String> problems() {
        return List.copyOf(problems);
    }

    /** Requires a condition. */
    void require(boolean condition, String flag, String message) {
        if (!condition) {
            problems.add("flag=" + flag + " variable=" + EnvironmentDefaults.variableName(flag) + " problem=\""
                    + message + "\"");
        }
    }

    /** Requires a value that is not empty. */
    String requireText(String flag, String value) {
        boolean present = value != null && !value.isBlank();
        require(present, flag, "a value is required");
        return present ? value : "";
    }

    /** Requires an address of the form IP:port. */
    Optional<InetSocketAddress> requireAddress(String flag, String value) {
        if (requireText(flag, value).isEmpty()) {
            return Optional.empty();
        }
        return requireParsable(flag, () -> TargetAddress.parse(value));
    }

    /** Requires that a value can be parsed. */
    <T> Optional<T> requireParsable(String flag, Supplier<T> parser) {
        try {
            return Optional.of(parser.get());
        } catch (JackdawbeamException e) {
            require(false, flag, e.getMessage());
            return Optional.empty();
        }
    }

    /** Requires a number within bounds. */
    void requireRange(String flag, long value, long minimum, long maximum) {
        require(value >= minimum && value <= maximum, flag, value + " is not between " + minimum + " and " + maximum);
    }
}
