package org.jackdawbeam.standin.platform;

/**
 * Faults of the emulated platform, set at run time.
 *
 * @param outage whether the platform responds to no request
 * @param delayMillis delay of each response
 * @param lostAnswers probability that the connection is closed after an append, in place of a response
 * @param hostListLagMillis delay until the host list shows a change
 */
public record PlatformFaults(boolean outage, long delayMillis, double lostAnswers, long hostListLagMillis) {

    /** Returns settings without faults, with the usual lag of the host list. */
    public static PlatformFaults none() {
        return new PlatformFaults(false, 0, 0, 1_000);
    }
}
