package org.jackdawbeam.net.fleet;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jackdawbeam.logic.fleet.FleetEvent;
import org.jackdawbeam.logic.fleet.QuarantinedGroup;
import org.jackdawbeam.logic.quarantine.Quarantine;
import org.jackdawbeam.model.fleet.QuarantineScope;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.http.HttpExchange;

/**
 * Lets operators see and lift the quarantine of prompt parts and of requests. {@code GET /quarantine} returns a JSON
 * list; {@code DELETE /quarantine?parts=ID+ID} releases one group of parts in the whole fleet, {@code DELETE
 * /quarantine?request=ID} one request, with the ids in hexadecimal. Must be used on the loop's thread.
 */
public final class QuarantineEndpoint {
    /** Path that this endpoint serves. */
    public static final String PATH = "/quarantine";

    private static final String JSON = "application/json";
    private static final Map<String, QuarantineScope> SCOPES =
            Map.of("parts", QuarantineScope.PROMPT_PARTS, "request", QuarantineScope.REQUESTS);
    private static final int HEXADECIMAL_RADIX = 16;

    private final FleetLoop loop;
    private final MessageMapper mapper = MessageMapper.json();

    private record Group(
            QuarantineScope scope, List<String> parts, int trials, long nextTrialMillis, List<String> enginesLost) {}

    public QuarantineEndpoint(FleetLoop loop) {
        this.loop = loop;
    }

    /** Responds with 200 and the groups, 204 after a release, 400 for malformed ids, 404 for an unknown group. */
    public void handle(HttpExchange exchange) {
        switch (exchange.method()) {
            case "GET" -> exchange.respond(200, JSON, mapper.write(groups()), Map.of());
            case "DELETE" -> release(exchange);
            default -> respond(exchange, 405, "use GET or DELETE");
        }
    }

    private List<Group> groups() {
        return Arrays.stream(QuarantineScope.values())
                .flatMap(scope -> groups(scope).stream())
                .toList();
    }

    private List<Group> groups(QuarantineScope scope) {
        Quarantine quarantine = loop.state().quarantine(scope);
        long nowMillis = loop.nowMillis();
        return quarantine.activeGroups().stream()
                .map(group -> new Group(
                        scope,
                        group.stream().sorted().map(Long::toHexString).toList(),
                        quarantine.entries().get(group).trials(),
                        Math.max(0, quarantine.entries().get(group).nextTrialAtMillis() - nowMillis),
                        quarantine.enginesLostWith(group)))
                .toList();
    }

    private void release(HttpExchange exchange) {
        Optional<QuarantinedGroup> group = parseGroup(exchange.uri());
        if (group.isEmpty()) {
            respond(exchange, 400, "parts or request must list hexadecimal ids, joined by plus signs");
            return;
        }
        if (!loop.state()
                .quarantine(group.get().scope())
                .activeGroups()
                .contains(group.get().ids())) {
            respond(exchange, 404, "they are not quarantined");
            return;
        }
        loop.submit(new FleetEvent.ReleaseRequested(loop.nowMillis(), group.get()));
        exchange.respond(204, JSON, new byte[0], Map.of());
    }

    private static Optional<QuarantinedGroup> parseGroup(String uri) {
        Map<String, List<String>> parameters = new QueryStringDecoder(uri).parameters();
        try {
            return SCOPES.keySet().stream()
                    .filter(parameters::containsKey)
                    .map(name -> new QuarantinedGroup(SCOPES.get(name), parseIds(parameters.get(name))))
                    .findFirst();
        } catch (NumberFormatException e) {
            return Optional.empty(); // answered as malformed
        }
    }

    private static Set<Long> parseIds(List<String> values) {
        // A plus sign in a query is decoded as a space.
        return values.stream()
                .flatMap(value -> Arrays.stream(value.split("[ +]")))
                .map(id -> Long.parseUnsignedLong(id, HEXADECIMAL_RADIX))
                .collect(Collectors.toUnmodifiableSet());
    }

    private static void respond(HttpExchange exchange, int status, String problem) {
        exchange.respond(status, "text/plain", problem.getBytes(StandardCharsets.UTF_8), Map.of());
    }
}
