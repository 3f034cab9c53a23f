package org.jackdawbeam.net.target;

import java.net.InetSocketAddress;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;

/** Parses addresses of the form {@code 127.0.0.1:8000}. */
public final class TargetAddress {

    private TargetAddress() {}

    /**
     * Returns the socket address.
     *
     * @throws JackdawbeamException with {@link ErrorCode#SETTINGS_INVALID} if the text does not have this form
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(text.substring(0, colon), port);
        } catch (RuntimeException e) {
            throw new JackdawbeamException(
                    ErrorCode.SETTINGS_INVALID, "not an address of the form IP:port: " + text, e);
        }
    }
}
