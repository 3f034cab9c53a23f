package org.jackdawbeam.model.error;

/** Base class of all exceptions of this project. {@link #code()} never returns null. */
public class JackdawbeamException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    public JackdawbeamException(ErrorCode code, String message) {
        super(message);
        this.code = code;
    }

    public JackdawbeamException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /** Returns the stable error code. */
    public ErrorCode code() {
        return code;
    }
}
