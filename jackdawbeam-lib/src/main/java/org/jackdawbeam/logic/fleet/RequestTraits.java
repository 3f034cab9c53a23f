package org.jackdawbeam.logic.fleet;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.jackdawbeam.model.fleet.CallerRequest;
import org.jackdawbeam.model.fleet.PromptPart;
import org.jackdawbeam.model.fleet.Route;

/**
 * Properties of a request that are logged, so that losses can be broken down by route, model and size.
 *
 * @param route name of the route; "-" if none was found
 * @param workspace name of the workspace; "-" on open routes and where the key is unknown
 * @param model name of the model; "-" for plain services
 * @param adapter name of the adapter; "-" without one
 * @param inputTokens length of the prompt; 0 if unknown
 * @param outputTokens maximum number of tokens to generate; 0 if unknown
 * @param objectiveMillis objective for the time to the first byte; -1 without a route
 * @param prompt parts of the prompt, in order
 */
public record RequestTraits(
        String route,
        String workspace,
        String model,
        String adapter,
        long inputTokens,
        long outputTokens,
        long objectiveMillis,
        List<PromptPart> prompt) {
    private static final String NONE = "-";
    private static final int MAX_LOGGED_PARTS = 8; // callers choose the number of parts, and log lines must stay short

    static RequestTraits of(CallerRequest call, Optional<Route> route, Optional<String> workspace) {
        return new RequestTraits(
                route.map(Route::name).orElse(NONE),
                workspace.orElse(NONE),
                call.model().orElse(NONE),
                call.adapter().orElse(NONE),
                call.inputTokens(),
                call.maximumOutputTokens(),
                route.map(Route::objectiveMillis).orElse(-1L),
                call.prompt());
    }

    /** Returns alternating keys and values. */
    public List<String> fields() {
        return List.of(
                "route",
                route,
                "workspace",
                workspace,
                "model",
                model,
                "adapter",
                adapter,
                "input_tokens",
                Long.toString(inputTokens),
                "output_tokens",
                Long.toString(outputTokens),
                "objective_ms",
                Long.toString(objectiveMillis),
                "prompt_parts",
                formatParts(prompt));
    }

    /** Formats parts as {@code ID:TOKENS}, joined by plus signs, with hexadecimal ids. */
    static String formatParts(List<PromptPart> parts) {
        return parts.isEmpty()
                ? NONE
                : parts.stream()
                        .limit(MAX_LOGGED_PARTS)
                        .map(part -> Long.toHexString(part.id()) + ':' + part.tokens())
                        .collect(Collectors.joining("+"));
    }
}
