package org.jackdawbeam.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.http.HttpExchange;
import org.jackdawbeam.net.http.HttpExchangeHandler;

/**
 * Emulates the platform: log, host list and weight store.
 *
 * <p>{@code POST /log/records}, {@code GET /log/records?from=&limit=}, {@code GET /hosts}, {@code PUT /hosts/NAME}
 * with a state, {@code POST /store/loads}, and {@code POST /faults}.
 */
public final class PlatformStandIn implements HttpExchangeHandler {
    private static final String JSON = "application/json";
    private static final String HOSTS = "/hosts/";

    private final MessageMapper mapper = MessageMapper.json();
    private final LogStore log;
    private final WeightStore store;
    private final Random random;
    private final Map<String, HostState> hosts = new ConcurrentHashMap<>();
    private volatile PlatformFaults faults = PlatformFaults.none();
    private volatile EventLoopGroup timers;

    private record HostState(String state, long sinceMillis) {}

    public PlatformStandIn(LogStore log, WeightStore store, long seed) {
        this.log = log;
        this.store = store;
        this.random = new Random(seed);
    }

    /** Sets the event loops that schedule delayed responses. */
    public void useTimers(EventLoopGroup group) {
        timers = group;
    }

    @Override
    public void handle(HttpExchange exchange) {
        if (exchange.path().equals("/faults")) {
            faults = mapper.read(exchange.body(), PlatformFaults.class);
            respond(exchange, 200, Map.of("faults", faults));
            return;
        }
        PlatformFaults current = faults;
        if (current.outage()) {
            return;
        }
        if (current.delayMillis() > 0) {
            timers.schedule(() -> route(exchange, current), current.delayMillis(), TimeUnit.MILLISECONDS);
            return;
        }
        route(exchange, current);
    }

    private void route(HttpExchange exchange, PlatformFaults current) {
        try {
            switch (exchange.method() + " " + exchange.path()) {
                case "POST /log/records" -> append(exchange, current);
                case "GET /log/records" -> read(exchange);
                case "GET /hosts" -> respond(exchange, 200, Map.of("hosts", hostList(current)));
                case "POST /store/loads" -> load(exchange);
                default -> updateHost(exchange);
            }
        } catch (JackdawbeamException e) {
            respond(exchange, 400, Map.of("error", e.getMessage()));
        }
    }

    private void append(HttpExchange exchange, PlatformFaults current) {
        JsonNode records = mapper.read(exchange.body(), JsonNode.class).path("records");
        boolean accepted = log.append(records.iterator(), System.currentTimeMillis());
        boolean lost;
        synchronized (random) {
            lost = random.nextDouble() < current.lostAnswers();
        }
        if (lost) {
            exchange.abort();
            return;
        }
        respond(exchange, accepted ? 200 : 429, Map.of("accepted", accepted));
    }

    private void read(HttpExchange exchange) {
        Map<String, List<String>> query = new QueryStringDecoder(exchange.uri()).parameters();
        long from = Long.parseLong(query.get("from").getFirst());
        int limit = Integer.parseInt(query.get("limit").getFirst());
        respond(exchange, 200, log.read(from, limit, System.currentTimeMillis()));
    }

    private List<Map<String, String>> hostList(PlatformFaults current) {
        long visibleBefore = System.currentTimeMillis() - current.hostListLagMillis();
        List<Map<String, String>> list = new ArrayList<>();
        hosts.forEach((name, host) -> {
            String state = host.sinceMillis() <= visibleBefore ? host.state() : "live";
            list.add(Map.of("name", name, "state", state));
        });
        return list;
    }

    private void updateHost(HttpExchange exchange) {
        boolean known = exchange.method().equals("PUT") && exchange.path().startsWith(HOSTS);
        if (!known) {
            respond(exchange, 404, Map.of("error", "no such resource"));
            return;
        }
        String name = exchange.path().substring(HOSTS.length());
        String state =
                mapper.read(exchange.body(), JsonNode.class).path("state").asText();
        hosts.put(name, new HostState(state, System.currentTimeMillis()));
        respond(exchange, 200, Map.of("name", name));
    }

    private void load(HttpExchange exchange) {
        long millis = store.begin(System.currentTimeMillis());
        timers.schedule(
                () -> {
                    store.end();
                    respond(exchange, 200, Map.of("millis", millis));
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    private void respond(HttpExchange exchange, int status, Object value) {
        exchange.respond(status, JSON, mapper.write(value), Map.of());
    }
}
