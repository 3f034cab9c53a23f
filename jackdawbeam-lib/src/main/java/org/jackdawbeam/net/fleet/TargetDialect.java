package org.jackdawbeam.net.fleet;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.jackdawbeam.logic.fleet.FleetEffect.StartAttempt;

/** Headers that entries and targets exchange. */
public interface TargetDialect {

    /**
     * Returns the headers of a request to a target.
     *
     * @param callerHeaders what the caller sent
     * @param leftMillis time that the caller will still wait
     * @param resumeAfter id of the last event that the caller has received
     */
    HttpHeaders requestHeaders(
            HttpHeaders callerHeaders, StartAttempt attempt, long leftMillis, Optional<String> resumeAfter);

    /** Reads the head of an answer. */
    ResponseHead read(HttpResponse response, String callerRequestId);

    /** Returns the headers of a target's answer that go on to the caller. */
    HttpHeaders answerHeaders(HttpHeaders targetHeaders);
}
