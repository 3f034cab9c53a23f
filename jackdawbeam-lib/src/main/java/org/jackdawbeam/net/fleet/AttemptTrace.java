package org.jackdawbeam.net.fleet;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.OptionalLong;
import org.jackdawbeam.logic.fleet.FleetEffect.StartAttempt;
import org.jackdawbeam.net.target.TargetConnections;
import org.tinylog.Logger;

/**
 * Collects on which connection an attempt was sent and what was received for it, and logs it in one line at its end, so
 * that the answer of a caller can be traced to the bytes that it was made from.
 */
final class AttemptTrace {
    private static final int LOGGED_CHARACTERS = 64; // a target may send ids and signatures of any length
    private static final String NONE = "-";

    private final StartAttempt start;
    private long connection = -1;
    private int place;
    private int status = -1;
    private String signature = NONE;
    private String framing = NONE;
    private long bodyBytes;
    private long sentAtMillis;
    private OptionalLong firstBodyMillis = OptionalLong.empty();
    private long lastBodyAtMillis;
    private long longestPauseMillis;

    AttemptTrace(StartAttempt start) {
        this.start = start;
    }

    /** Records the connection on which the request is sent. */
    void sentOn(Channel channel, long nowMillis) {
        sentAtMillis = nowMillis;
        connection = TargetConnections.connectionNumber(channel);
        place = TargetConnections.requestCount(channel);
    }

    /** Records the head that is taken for the answer. */
    void answered(HttpResponse response, ResponseHead head) {
        status = response.status().code();
        signature = head.signature().map(AttemptTrace::shortened).orElse(NONE);
        framing = framing(response);
    }

    /** Records bytes of the answer's body that are relayed. */
    void relayed(int bytes, long nowMillis) {
        bodyBytes += bytes;
        if (firstBodyMillis.isEmpty()) {
            firstBodyMillis = OptionalLong.of(nowMillis - sentAtMillis);
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastBodyAtMillis);
        }
        lastBodyAtMillis = nowMillis;
    }

    /** Returns the longest time between two parts of the answer's body; 0 with fewer than two parts. */
    long longestPauseMillis() {
        return longestPauseMillis;
    }

    /** Logs the first response to another request; a target may send any number of them. */
    void logOtherResponse(HttpResponse response, ResponseHead head) {
        Logger.info(
                "event=foreign_answer_dropped request={} request_number={} target={} answer_to={} status={}"
                        + " connection={} place={}",
                start.callerRequestId(),
                start.attempt().requestId(),
                start.target().id(),
                head.requestId().map(AttemptTrace::shortened).orElse(NONE),
                response.status().code(),
                connection,
                place);
    }

    /** Logs the end of an attempt whose request was sent. */
    void logEnd(String outcome) {
        Logger.info(
                "event=attempt_ended request={} request_number={} attempt={} target={} started_at={} connection={}"
                        + " place={} status={} signature={} framing={} body_bytes={} estimate_ms={} first_body_ms={}"
                        + " longest_pause_ms={} outcome={}",
                start.callerRequestId(),
                start.attempt().requestId(),
                start.attempt().number(),
                start.target().id(),
                start.target().startedAtMillis(),
                connection,
                place,
                status,
                signature,
                framing,
                bodyBytes,
                start.estimateMillis(),
                firstBodyMillis.orElse(-1),
                longestPauseMillis,
                outcome);
    }

    private static String framing(HttpResponse response) {
        if (HttpUtil.isTransferEncodingChunked(response)) {
            return "chunked";
        }
        return HttpUtil.isContentLengthSet(response) ? "length" : "close";
    }

    private static String shortened(String text) {
        return text.substring(0, Math.min(text.length(), LOGGED_CHARACTERS)).replace(' ', '_');
    }
}
