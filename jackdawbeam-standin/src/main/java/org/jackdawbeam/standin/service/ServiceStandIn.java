package org.jackdawbeam.standin.service;

import io.netty.channel.EventLoopGroup;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.http.HttpExchange;
import org.jackdawbeam.net.http.HttpExchangeHandler;

/**
 * Emulates a plain service such as a payment application. Every call is executed, without deduplication;
 * {@code GET /ledger} returns the number of executions of each idempotency key.
 */
public final class ServiceStandIn implements HttpExchangeHandler {
    private static final String JSON = "application/json";
    private static final int MAXIMUM_RECORDED_REQUESTS = 256;

    private final MessageMapper mapper = MessageMapper.json();
    private final String name;
    private final Map<String, AtomicLong> runs = new ConcurrentHashMap<>();
    private final Map<Long, Map<String, String>> seenHeaders = new ConcurrentHashMap<>();
    private final AtomicLong calls = new AtomicLong();
    private volatile Faults faults;
    private volatile EventLoopGroup timers;

    /**
     * Faults of the emulated service, set at run time.
     *
     * @param delayMillis duration of a call
     * @param closeBeforeAnswer whether the connection is closed after a call is executed, in place of a response
     * @param silent whether calls are executed without a response
     */
    public record Faults(long delayMillis, boolean closeBeforeAnswer, boolean silent) {}

    public ServiceStandIn(String name, long delayMillis) {
        this.name = name;
        this.faults = new Faults(delayMillis, false, false);
    }

    /** Sets the event loops that schedule delayed responses. */
    public void useTimers(EventLoopGroup group) {
        timers = group;
    }

    @Override
    public void handle(HttpExchange exchange) {
        switch (exchange.method() + " " + exchange.path()) {
            case "GET /ledger" -> respond(exchange, ledger());
            case "POST /faults" -> {
                faults = mapper.read(exchange.body(), Faults.class);
                respond(exchange, Map.of("faults", faults));
            }
            default -> execute(exchange);
        }
    }

    private void execute(HttpExchange exchange) {
        long number = calls.incrementAndGet();
        Optional<String> key = Optional.ofNullable(exchange.headers().get("idempotency-key"));
        key.ifPresent(
                value -> runs.computeIfAbsent(value, unused -> new AtomicLong()).incrementAndGet());
        Map<String, String> headers = new LinkedHashMap<>();
        exchange.headers().forEach(header -> headers.put(header.getKey(), header.getValue()));
        headers.put(":uri", exchange.uri());
        seenHeaders.put(number % MAXIMUM_RECORDED_REQUESTS, headers);
        Faults current = faults;
        if (current.silent()) {
            return;
        }
        timers.schedule(() -> answer(exchange, number, key, current), current.delayMillis(), TimeUnit.MILLISECONDS);
    }

    private void answer(HttpExchange exchange, long number, Optional<String> key, Faults current) {
        if (current.closeBeforeAnswer()) {
            exchange.abort();
            return;
        }
        respond(
                exchange,
                Map.of(
                        "service",
                        name,
                        "receipt",
                        name + "-" + number,
                        "idempotencyKey",
                        key.orElse(""),
                        "path",
                        exchange.path()));
    }

    private Map<String, Object> ledger() {
        Map<String, Long> counts = new LinkedHashMap<>();
        runs.forEach((key, count) -> counts.put(key, count.get()));
        return Map.of("calls", calls.get(), "runs", counts, "headers", seenHeaders.values());
    }

    private void respond(HttpExchange exchange, Object value) {
        exchange.respond(200, JSON, mapper.write(value), Map.of());
    }
}
