package org.jackdawbeam.net.http;

import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;

/** A head of a response contains the beginning of another head. */
public final class MergedHeadException extends JackdawbeamException {
    private static final long serialVersionUID = 1L;

    MergedHeadException() {
        super(ErrorCode.MESSAGE_MALFORMED, "a status line within the head of a response");
    }
}
