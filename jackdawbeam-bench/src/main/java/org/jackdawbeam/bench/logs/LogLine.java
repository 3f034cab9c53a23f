package org.jackdawbeam.bench.logs;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parsed line of an entry's log.
 *
 * @param seconds time prefix of the line as printed by benchmark runs
 * @param host host that wrote the line
 * @param fields key=value pairs with quotes removed
 */
record LogLine(double seconds, String host, Map<String, String> fields) {
    private static final Pattern PREFIX = Pattern.compile("^\\s*(-?\\d+\\.\\d+)\\s+(\\S+)\\s+(.*)$");
    private static final Pattern FIELD = Pattern.compile("(\\w+)=(\"[^\"]*\"|\\S+)");

    /** Parses a line; empty if it was not written by an entry, such as output of the Java runtime. */
    static Optional<LogLine> parse(String line) {
        Matcher prefix = PREFIX.matcher(line);
        if (!prefix.matches()) {
            return Optional.empty();
        }
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher field = FIELD.matcher(prefix.group(3));
        while (field.find()) {
            fields.put(field.group(1), field.group(2).replace("\"", ""));
        }
        return fields.containsKey("event")
                ? Optional.of(new LogLine(Double.parseDouble(prefix.group(1)), prefix.group(2), Map.copyOf(fields)))
                : Optional.empty();
    }

    String event() {
        return fields.get("event");
    }

    String field(String name) {
        return fields.getOrDefault(name, "-");
    }
}
