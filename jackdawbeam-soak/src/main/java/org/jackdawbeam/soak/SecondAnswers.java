package org.jackdawbeam.soak;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jackdawbeam.standin.fleet.TargetLedger;

/**
 * Sends some answers of a target a second time on their connection: late or just before the next answer, whole or cut
 * off, with the same or another status. Records what the target answered first. Used on the thread of the connection.
 */
final class SecondAnswers {
    private static final double SECOND_SHARE = 0.4;
    private static final double FAILURE_SHARE = 0.2;
    private static final int MAXIMUM_DELAY_MILLIS = 3_000;
    private static final int SHORT_DELAY_MILLIS = 50; // callers send the next request within 60 ms
    private static final String SUCCESS = "HTTP/1.1 200 OK";
    private static final String FAILURE = "HTTP/1.1 500 Internal Server Error";
    private static final String HEAD_END = "\r\n\r\n";
    private static final String CHUNKS_END = "\r\n0\r\n\r\n";
    private static final Pattern REQUEST_ID = Pattern.compile("(?im)^request-id: ([^\r]+)");
    private static final Pattern SEAL = Pattern.compile("(?im)^server-seal: ([^\r]+)");
    private static final Pattern LENGTH = Pattern.compile("(?im)^content-length: (\\d+)");

    private final Channel entry;
    private final TargetLedger ledger;
    private final Supplier<Optional<RandomGenerator>> fault;
    private final StringBuilder answer = new StringBuilder();
    private String beforeNext = "";

    /**
     * Creates the state of one connection.
     *
     * @param entry channel to the entry
     * @param fault source of random numbers while answers are sent twice, else empty
     */
    SecondAnswers(Channel entry, TargetLedger ledger, Supplier<Optional<RandomGenerator>> fault) {
        this.entry = entry;
        this.ledger = ledger;
        this.fault = fault;
    }

    /** Takes bytes of the target and returns the bytes that the entry gets. */
    ByteBuf pass(ByteBuf bytes) {
        String part = bytes.toString(StandardCharsets.ISO_8859_1);
        bytes.release();
        String before = "";
        if (answer.isEmpty()) {
            before = beforeNext;
            beforeNext = "";
            part = failSometimes(part);
        }
        boolean headWasMissing = answer.indexOf(HEAD_END) < 0;
        answer.append(part);
        String received = answer.toString();
        int headEnd = received.indexOf(HEAD_END);
        if (headWasMissing && headEnd >= 0) {
            record(received);
        }
        if (headEnd >= 0 && isWhole(received, headEnd)) {
            answer.setLength(0);
            fault.get().ifPresent(random -> repeatSometimes(received, random));
        }
        return Unpooled.copiedBuffer(before + part, StandardCharsets.ISO_8859_1);
    }

    private String failSometimes(String part) {
        boolean fails = fault.get()
                .filter(random -> valueOf(REQUEST_ID, part).isPresent() && random.nextDouble() < FAILURE_SHARE)
                .isPresent();
        return fails ? part.replace(SUCCESS, FAILURE) : part;
    }

    private void record(String received) {
        valueOf(REQUEST_ID, received).ifPresent(id -> {
            int status = Integer.parseInt(received.split(" ", 3)[1]);
            ledger.recordAnswer(id, status, valueOf(SEAL, received).orElse(""));
        });
    }

    private void repeatSometimes(String first, RandomGenerator random) {
        if (valueOf(REQUEST_ID, first).isEmpty() || random.nextDouble() >= SECOND_SHARE) {
            return;
        }
        String other = first.startsWith(SUCCESS) ? first.replace(SUCCESS, FAILURE) : first.replace(FAILURE, SUCCESS);
        String whole = random.nextBoolean() ? first : other;
        String second = random.nextBoolean() ? whole : whole.substring(0, cut(whole.length(), random));
        if (random.nextBoolean()) {
            beforeNext = second;
            return;
        }
        int delayMillis = random.nextInt(random.nextBoolean() ? SHORT_DELAY_MILLIS : MAXIMUM_DELAY_MILLIS);
        entry.eventLoop().schedule(() -> sendLate(second), delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Draws where an answer is cut off; places near its beginning, in the head, are more frequent. */
    private static int cut(int length, RandomGenerator random) {
        return random.nextInt(1, random.nextInt(2, length));
    }

    /** Sends a late answer, except into another one that has begun: bytes of both could not be told apart. */
    private void sendLate(String second) {
        if (answer.isEmpty() && entry.isActive()) {
            entry.writeAndFlush(Unpooled.copiedBuffer(second, StandardCharsets.ISO_8859_1));
        }
    }

    private static boolean isWhole(String received, int headEnd) {
        return valueOf(LENGTH, received)
                .map(length -> received.length() >= headEnd + HEAD_END.length() + Integer.parseInt(length))
                .orElse(received.endsWith(CHUNKS_END));
    }

    private static Optional<String> valueOf(Pattern header, String received) {
        int headEnd = received.indexOf(HEAD_END);
        Matcher matcher = header.matcher(headEnd < 0 ? "" : received.substring(0, headEnd));
        return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
    }
}
