package org.jackdawbeam.net.http;

/** A head of a response contains the beginning of another head. */
public final class MergedHeadException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MergedHeadException() {
        super("a status line within a head", null, false, false);
    }
}
