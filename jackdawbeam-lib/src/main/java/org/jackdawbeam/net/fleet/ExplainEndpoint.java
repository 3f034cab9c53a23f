package org.jackdawbeam.net.fleet;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jackdawbeam.logic.explain.Explanation;
import org.jackdawbeam.logic.fleet.FleetReducer;
import org.jackdawbeam.logic.fleet.RequestExplainer;
import org.jackdawbeam.model.fleet.CallerRequest;
import org.jackdawbeam.model.fleet.FleetConfiguration;
import org.jackdawbeam.model.fleet.PromptPart;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.http.HttpExchange;

/**
 * Tells operators where a request would go now, and why, without sending it. {@code GET /explain?host=H&path=P}
 * returns JSON; the parameters {@code workspace}, {@code model}, {@code tokens=IN,OUT}, {@code prompt=ID:TOKENS,...},
 * {@code deadline_ms} and {@code request_id}, which decides between services of a route by weight, may be left out.
 * Must be used on the loop's thread.
 */
public final class ExplainEndpoint {
    /** Path that this endpoint serves. */
    public static final String PATH = "/explain";

    private static final String JSON = "application/json";
    private static final String REQUEST_ID = "explained";
    private static final long NO_DEADLINE_MILLIS = Long.MAX_VALUE / 4;
    private static final int HEXADECIMAL_RADIX = 16;

    private final FleetLoop loop;
    private final RequestExplainer explainer = new RequestExplainer(new FleetReducer());
    private final MessageMapper mapper = MessageMapper.json();

    /** A report; the outcome is named, as its fields alone do not tell which one it is. */
    private record Report(String outcome, Explanation explanation) {}

    public ExplainEndpoint(FleetLoop loop) {
        this.loop = loop;
    }

    /** Responds with 200 and the explanation, 400 if a parameter is missing or malformed, 405 for other methods. */
    public void handle(HttpExchange exchange) {
        if (!exchange.method().equals("GET")) {
            respondProblem(exchange, 405, "use GET");
            return;
        }
        CallerRequest call;
        try {
            Map<String, List<String>> parameters = new QueryStringDecoder(exchange.uri()).parameters();
            Optional<String> problem = problem(parameters);
            if (problem.isPresent()) {
                respondProblem(exchange, 400, problem.get());
                return;
            }
            call = call(parameters);
        } catch (IllegalArgumentException e) {
            respondProblem(exchange, 400, "tokens must be IN,OUT, prompt ID:TOKENS,... and deadline_ms a number");
            return;
        }
        Explanation explanation = explainer.explain(loop.state(), call, loop.nowMillis());
        byte[] body = mapper.write(new Report(explanation.outcome().name(), explanation));
        exchange.respond(200, JSON, body, Map.of());
    }

    private Optional<String> problem(Map<String, List<String>> parameters) {
        if (value(parameters, "host").isEmpty() || value(parameters, "path").isEmpty()) {
            return Optional.of("host and path are required");
        }
        Optional<String> workspace = value(parameters, "workspace");
        return workspace.isPresent() && workspace.flatMap(this::anyKey).isEmpty()
                ? Optional.of("the configuration has no such workspace, or it has no key")
                : Optional.empty();
    }

    private CallerRequest call(Map<String, List<String>> parameters) {
        Optional<String> model = value(parameters, "model");
        Optional<String> base = model.map(name -> name.split("/", 2)[0]);
        Optional<String> adapter = model.filter(name -> name.contains("/")).map(name -> name.split("/", 2)[1]);
        Optional<String[]> tokens = value(parameters, "tokens").map(text -> text.split(",", 2));
        return new CallerRequest(
                value(parameters, "request_id").orElse(REQUEST_ID),
                beforeFirst(':', value(parameters, "host").orElseThrow()),
                beforeFirst('?', value(parameters, "path").orElseThrow()),
                value(parameters, "workspace").flatMap(this::anyKey),
                value(parameters, "deadline_ms")
                        .map(ExplainEndpoint::parseCount)
                        .orElse(NO_DEADLINE_MILLIS),
                base,
                adapter,
                tokens.map(counts -> parseCount(counts[0])).orElse(0L),
                tokens.map(counts -> parseCount(counts.length < 2 ? "" : counts[1]))
                        .orElse(0L),
                tokens.isPresent(),
                value(parameters, "prompt").map(ExplainEndpoint::prompt).orElse(List.of()),
                0);
    }

    /** Returns a key of the workspace, so that operators need not know one. */
    private Optional<String> anyKey(String workspace) {
        return loop.state()
                .configuration()
                .flatMap((FleetConfiguration known) -> known.workspace(workspace))
                .flatMap(found -> found.keys().stream().sorted().findFirst());
    }

    private static List<PromptPart> prompt(String text) {
        List<PromptPart> parts = new ArrayList<>();
        for (String part : text.split(",")) {
            String[] fields = part.split(":", 2);
            if (fields.length < 2) {
                throw new NumberFormatException(part);
            }
            parts.add(
                    new PromptPart(Long.parseUnsignedLong(fields[0], HEXADECIMAL_RADIX), Integer.parseInt(fields[1])));
        }
        return List.copyOf(parts);
    }

    /** Callers lose the port of the host and the query of the path, too. */
    private static String beforeFirst(char separator, String text) {
        int index = text.indexOf(separator);
        return index < 0 ? text : text.substring(0, index);
    }

    private static long parseCount(String text) {
        long count = Long.parseLong(text);
        if (count < 0 || count > NO_DEADLINE_MILLIS) {
            throw new NumberFormatException(text);
        }
        return count;
    }

    private static Optional<String> value(Map<String, List<String>> parameters, String name) {
        return Optional.ofNullable(parameters.get(name)).map(List::getFirst).filter(text -> !text.isEmpty());
    }

    private static void respondProblem(HttpExchange exchange, int status, String problem) {
        exchange.respond(status, "text/plain", problem.getBytes(StandardCharsets.UTF_8), Map.of());
    }
}
