package org.jackdawbeam.net.fleet;

import java.lang.foreign.Arena;
import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemoryLayout;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.lang.invoke.MethodHandle;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.model.time.MonotonicClock;

/**
 * A monotonic clock that includes the time during which the host is suspended, unlike {@link System#nanoTime()}. Leases
 * must be measured with it. Not thread-safe.
 */
public final class SuspendAwareClock implements MonotonicClock {
    private static final int CLOCK_BOOTTIME = 7; // from time.h of the C library on Linux
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final MemoryLayout TIMESPEC =
            MemoryLayout.structLayout(ValueLayout.JAVA_LONG, ValueLayout.JAVA_LONG);

    private final MethodHandle clockGetTime;
    private final MemorySegment timespec;

    /**
     * Looks up {@code clock_gettime} in the C library.
     *
     * @throws JackdawbeamException with {@link ErrorCode#INTERNAL} if the C library has no such function
     */
    public SuspendAwareClock() {
        Linker linker = Linker.nativeLinker();
        MemorySegment symbol = linker.defaultLookup()
                .find("clock_gettime")
                .orElseThrow(() -> new JackdawbeamException(ErrorCode.INTERNAL, "the C library has no clock_gettime"));
        this.clockGetTime = linker.downcallHandle(
                symbol,
                FunctionDescriptor.of(ValueLayout.JAVA_INT, ValueLayout.JAVA_INT, ValueLayout.ADDRESS),
                Linker.Option.critical(false));
        this.timespec = Arena.global().allocate(TIMESPEC);
    }

    @Override
    public long nowMillis() {
        try {
            int failure = (int) clockGetTime.invokeExact(CLOCK_BOOTTIME, timespec);
            if (failure != 0) {
                throw new JackdawbeamException(ErrorCode.INTERNAL, "clock_gettime failed");
            }
        } catch (JackdawbeamException e) {
            throw e;
        } catch (Throwable e) {
            throw new JackdawbeamException(ErrorCode.INTERNAL, "clock_gettime failed", e);
        }
        return timespec.get(ValueLayout.JAVA_LONG, 0) * MILLIS_PER_SECOND
                + timespec.get(ValueLayout.JAVA_LONG, Long.BYTES) / NANOS_PER_MILLI;
    }
}
