package org.jackdawbeam.model.error;

/** Stable error codes as reported in logs, responses and exit messages. */
public enum ErrorCode {
    SETTINGS_INVALID,
    BUNDLE_INVALID,
    BUNDLE_UNREADABLE,
    SIGNATURE_INVALID,
    KEY_MATERIAL_INVALID,
    MESSAGE_MALFORMED,
    MESSAGE_TOO_LARGE,
    CONNECTION_FAILED,
    CONNECTION_SILENT,
    NOT_PERMITTED,
    PLATFORM_UNAVAILABLE,
    ADMINISTRATION_REFUSED,
    INTERNAL
}
