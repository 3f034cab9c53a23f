package org.jackdawbeam.cli;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.net.target.TargetAddress;

/** Collects all problems with the settings, so that they can be reported together. */
final class SettingsChecker {
    private final List<String> problems = new ArrayList<>();

    /** Returns the problems found so far. */
    List<String> problems() {
        return List.copyOf(problems);
    }

    /** Records a problem with a flag unless the condition holds. */
    void require(boolean condition, String flag, String message) {
        if (!condition) {
            problems.add("flag=" + flag + " variable=" + EnvironmentDefaults.variableName(flag) + " problem=\""
                    + message + "\"");
        }
    }

    /** Requires a non-blank value and returns it, or an empty string if there is none. */
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

    /** Requires that the parser succeeds and returns its result. */
    <T> Optional<T> requireParsable(String flag, Supplier<T> parser) {
        try {
            return Optional.of(parser.get());
        } catch (JackdawbeamException e) {
            require(false, flag, e.getMessage());
            return Optional.empty();
        }
    }

    /** Requires a number between two inclusive bounds. */
    void requireRange(String flag, long value, long minimum, long maximum) {
        require(value >= minimum && value <= maximum, flag, value + " is not between " + minimum + " and " + maximum);
    }
}
