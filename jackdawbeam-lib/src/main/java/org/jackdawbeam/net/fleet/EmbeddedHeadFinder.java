package org.jackdawbeam.net.fleet;

import io.netty.buffer.ByteBuf;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/**
 * Finds the head of another response within the body of one. A target that sends a second response before the first has
 * ended puts it there, and no framing tells: a body without a length takes everything up to the end of the connection,
 * and a body that was cut off is filled up. The head counts only if it names a request that the connection has carried.
 * Not thread-safe.
 */
final class EmbeddedHeadFinder {
    private static final String START = "HTTP/1.";
    private static final Pattern REST_OF_STATUS_LINE = Pattern.compile("[01] [1-5][0-9]{2}( .*)?");
    private static final int MAXIMUM_HEAD_BYTES = 8_192; // as much as the codec accepts for a head

    private final Predicate<String> isCarriedRequest;
    private final StringBuilder line = new StringBuilder();
    private int matched;
    private int headBytes;
    private boolean statusLineRead;
    private boolean found;

    EmbeddedHeadFinder(Predicate<String> isCarriedRequest) {
        this.isCarriedRequest = isCarriedRequest;
    }

    /** Examines the next bytes of the body and returns whether a head has been found so far. */
    boolean add(ByteBuf bytes) {
        int index = bytes.readerIndex();
        while (!found && index < bytes.writerIndex()) {
            if (matched == 0) {
                index = bytes.indexOf(index, bytes.writerIndex(), (byte) START.charAt(0));
                if (index < 0) {
                    return false;
                }
            }
            next(bytes.getByte(index));
            index++;
        }
        return found;
    }

    private void next(byte value) {
        if (matched < START.length()) {
            matched = value == START.charAt(matched) ? matched + 1 : value == START.charAt(0) ? 1 : 0;
            return;
        }
        headBytes++;
        if (headBytes > MAXIMUM_HEAD_BYTES) {
            startOver();
        } else if (value == '\n') {
            endLine(line.toString().trim());
        } else {
            line.append((char) (value & 0xff));
        }
    }

    private void endLine(String text) {
        line.setLength(0);
        if (!statusLineRead) {
            int again = text.lastIndexOf(START);
            String rest = again < 0 ? text : text.substring(again + START.length());
            statusLineRead = REST_OF_STATUS_LINE.matcher(rest).matches();
            if (!statusLineRead) {
                startOver();
            }
            return;
        }
        int colon = text.indexOf(':');
        if (colon < 0) {
            startOver();
            return;
        }
        found = isCarriedRequest.test(text.substring(colon + 1).trim());
    }

    private void startOver() {
        matched = 0;
        headBytes = 0;
        statusLineRead = false;
        line.setLength(0);
    }
}
