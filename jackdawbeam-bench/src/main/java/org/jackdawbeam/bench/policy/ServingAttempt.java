package org.jackdawbeam.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jackdawbeam.model.fleet.CallerRequest;
import org.jackdawbeam.model.fleet.PromptPart;
import org.jackdawbeam.model.request.AttemptId;

/** An attempt on a serving engine, from its arrival to its last token. */
final class ServingAttempt {
    private final AttemptId attempt;
    private final CallerRequest call;
    private final int priority;
    private final int tokensPerEvent;
    private final Runnable onFirstToken;
    private final Runnable onEvent;
    private final Runnable onEnd;
    private double remainingPrefill;
    private long tokensLeft;
    private int tokensOfEvent;
    private boolean firstToken;

    ServingAttempt(
            AttemptId attempt,
            CallerRequest call,
            int priority,
            int tokensPerEvent,
            Runnable onFirstToken,
            Runnable onEvent,
            Runnable onEnd) {
        this.attempt = attempt;
        this.call = call;
        this.priority = priority;
        this.tokensPerEvent = tokensPerEvent;
        this.onFirstToken = onFirstToken;
        this.onEvent = onEvent;
        this.onEnd = onEnd;
        this.tokensLeft = call.maximumOutputTokens();
    }

    AttemptId attempt() {
        return attempt;
    }

    int priority() {
        return priority;
    }

    String model() {
        return call.model().orElseThrow();
    }

    Optional<String> adapter() {
        return call.adapter();
    }

    List<String> prefixKeys() {
        List<String> keys = new ArrayList<>();
        StringBuilder key = new StringBuilder(model() + "/" + adapter().orElse(""));
        for (PromptPart part : call.prompt()) {
            key.append(',').append(part.id());
            keys.add(key.toString());
        }
        return keys;
    }

    List<Integer> partTokens() {
        return call.prompt().stream().map(PromptPart::tokens).toList();
    }

    void setPrefillTokens(long tokens) {
        remainingPrefill = Math.max(1, tokens);
    }

    double remainingPrefill() {
        return remainingPrefill;
    }

    /** Returns the number of pairs of one of the next prompt tokens and a token before it. */
    double pairs(double tokens) {
        double before = call.inputTokens() - remainingPrefill;
        return tokens * (before + tokens / 2);
    }

    void prefill(double tokens) {
        remainingPrefill = Math.max(0, remainingPrefill - tokens);
    }

    boolean hasFirstToken() {
        return firstToken;
    }

    void deliverFirstToken() {
        firstToken = true;
        onFirstToken.run();
    }

    /** Decodes a token and returns whether it was the last one. */
    boolean decodeToken() {
        tokensLeft--;
        tokensOfEvent++;
        if (tokensOfEvent == tokensPerEvent) {
            tokensOfEvent = 0;
            onEvent.run();
        }
        return tokensLeft <= 0;
    }

    void end() {
        onEnd.run();
    }
}
