package org.jackdawbeam.net.fleet;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.jackdawbeam.logic.fleet.FleetEffect.StartAttempt;

/** Mapping of requests and responses to the headers that entries and targets exchange. */
public interface TargetDialect {

    /**
     * Returns the headers of a request to a target.
     *
     * @param callerHeaders headers of the request of the caller
     * @param remainingMillis time until the caller's deadline
     * @param resumeAfter id of the last event that has been relayed to the caller
     */
    HttpHeaders requestHeaders(
            HttpHeaders callerHeaders, StartAttempt attempt, long remainingMillis, Optional<String> resumeAfter);

    /** Reads the headers of a response. */
    ResponseHead read(HttpResponse response, String callerRequestId);

    /** Returns whether a header of a response names the request that the response belongs to. */
    boolean isRequestId(String headerName);

    /** Returns the headers of a target's response that are relayed to the caller. */
    HttpHeaders responseHeaders(HttpHeaders targetHeaders);
}
