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
import org.jackdawbeam.logic.quarantine.Quarantine;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.http.HttpExchange;

/**
 * Lets operators see and lift the quarantine of prompt parts. {@code GET /quarantine} returns a JSON list;
 * {@code DELETE /quarantine?parts=ID+ID} releases one group in the whole fleet, with the ids in hexadecimal. Must be
 * used on the loop's thread.
 */
public final class QuarantineEndpoint {
    /** Path that this endpoint serves. */
    public static final String PATH = "/quarantine";

    private static final String JSON = "application/json";
    private static final String PARTS = "parts";
    private static final int HEXADECIMAL_RADIX = 16;

    private final FleetLoop loop;
    private final MessageMapper mapper = MessageMapper.json();

    private record Group(List<String> parts, int trials, long nextTrialMillis, List<String> enginesLost) {}

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
        Quarantine quarantine = loop.state().quarantine();
        long nowMillis = loop.nowMillis();
        return quarantine.activeGroups().stream()
                .map(group -> new Group(
                        group.stream().sorted().map(Long::toHexString).toList(),
                        quarantine.entries().get(group).trials(),
                        Math.max(0, quarantine.entries().get(group).nextTrialAtMillis() - nowMillis),
                        quarantine.enginesLostWith(group)))
                .toList();
    }

    private void release(HttpExchange exchange) {
        Optional<Set<Long>> group = parseGroup(exchange.uri());
        if (group.isEmpty()) {
            respond(exchange, 400, "parts must list hexadecimal ids, joined by plus signs");
            return;
        }
        if (!loop.state().quarantine().activeGroups().contains(group.get())) {
            respond(exchange, 404, "the parts are not quarantined");
            return;
        }
        loop.submit(new FleetEvent.ReleaseRequested(loop.nowMillis(), group.get()));
        exchange.respond(204, JSON, new byte[0], Map.of());
    }

    private static Optional<Set<Long>> parseGroup(String uri) {
        List<String> values = new QueryStringDecoder(uri).parameters().getOrDefault(PARTS, List.of());
        try {
            // A plus sign in a query is decoded as a space.
            Set<Long> parts = values.stream()
                    .flatMap(value -> Arrays.stream(value.split("[ +]")))
                    .map(id -> Long.parseUnsignedLong(id, HEXADECIMAL_RADIX))
                    .collect(Collectors.toUnmodifiableSet());
            return Optional.of(parts).filter(found -> !found.isEmpty());
        } catch (NumberFormatException e) {
            return Optional.empty(); // answered as malformed
        }
    }

    private static void respond(HttpExchange exchange, int status, String problem) {
        exchange.respond(status, "text/plain", problem.getBytes(StandardCharsets.UTF_8), Map.of());
    }
}
