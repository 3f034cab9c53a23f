package org.jackdawbeam.net.fleet;

import io.netty.buffer.ByteBuf;
import java.util.function.BiPredicate;
import java.util.regex.Pattern;

/**
 * Finds the head of another response within the body of one. A target that sends a second response before the first has
 * ended puts it there, and no framing tells: a body without a length takes everything up to the end of the connection,
 * and a body that was cut off is filled up. The head counts only if it names a request that the connection has carried.
 * Not thread-safe.
 */
final class EmbeddedHeadFinder {
    private static final String START = "HTTP/";
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/[0-9]+\\.[0-9]+\\s+[+-]?[0-9]+(\\s.*)?", Pattern.DOTALL);
    private static final int MAXIMUM_HEAD_BYTES = 8_192; // as much as the codec accepts for a head

    private final BiPredicate<String, String> namesCarriedRequest;
    private final StringBuilder line = new StringBuilder();
    private int matched;
    private int headBytes;
    private boolean statusLineRead;
    private boolean found;

    /**
     * Creates a finder for one body.
     *
     * @param namesCarriedRequest whether a header, by name and value, names a request that the connection has carried
     */
    EmbeddedHeadFinder(BiPredicate<String, String> namesCarriedRequest) {
        this.namesCarriedRequest = namesCarriedRequest;
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
            if (matched == START.length()) {
                line.append(START);
            }
            return;
        }
        headBytes++;
        if (headBytes > MAXIMUM_HEAD_BYTES) {
            startOver();
        } else if (value == '\n') {
            String text = line.toString();
            line.setLength(0);
            endLine(text);
        } else {
            line.append((char) (value & 0xff));
        }
    }

    private void endLine(String text) {
        int start = text.lastIndexOf(START);
        if (start >= 0 && STATUS_LINE.matcher(text.substring(start)).matches()) {
            statusLineRead = true;
            headBytes = 0;
            return;
        }
        boolean continuesLine = text.startsWith(" ") || text.startsWith("\t");
        int colon = text.indexOf(':');
        if (!statusLineRead || colon < 0 && !continuesLine) {
            startOver();
            return;
        }
        found = !continuesLine
                && namesCarriedRequest.test(
                        text.substring(0, colon).trim(),
                        text.substring(colon + 1).trim());
    }

    private void startOver() {
        matched = 0;
        headBytes = 0;
        statusLineRead = false;
        line.setLength(0);
    }
}
