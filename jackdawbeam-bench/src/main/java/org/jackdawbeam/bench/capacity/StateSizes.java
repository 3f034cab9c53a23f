package org.jackdawbeam.bench.capacity;

import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.IntFunction;
import org.jackdawbeam.bench.decision.Site;
import org.jackdawbeam.logic.configuration.LogReducer;
import org.jackdawbeam.logic.configuration.LoggedState;
import org.jackdawbeam.logic.target.TargetState;
import org.jackdawbeam.model.bundle.AdapterSpecification;
import org.jackdawbeam.model.bundle.KeySpecification;
import org.jackdawbeam.model.bundle.ModelSpecification;
import org.jackdawbeam.model.bundle.TargetKind;
import org.jackdawbeam.model.bundle.TargetSpecification;
import org.jackdawbeam.model.log.LogEntry;
import org.jackdawbeam.model.log.LogRecord;
import org.jackdawbeam.model.log.LogRecord.ClaimMade;
import org.jackdawbeam.model.log.LogRecord.KeyGiven;
import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.target.EngineLoad;

/** Estimates the memory footprint of parts of the state from heap growth. */
final class StateSizes {
    private static final int[] COUNTS = {2_000, 8_000, 32_000};
    private static final Member MEMBER = new Member("entry-1", 1, "a", "http://10.0.0.1:80", "10.0.0.1:81");

    private StateSizes() {}

    static void print() {
        print("key", count -> reducedState(count, number -> new KeyGiven("g" + number, key(number))));
        print(
                "claim",
                count -> reducedState(
                        count,
                        number -> new ClaimMade(
                                "entry-1/1/" + number,
                                "portal|key-" + number,
                                key(number).sha256(),
                                MEMBER)));
        print("model", count -> list(count, number -> new ModelSpecification(Site.model(number) + "x", number, 1)));
        print("adapter", count -> list(count, number -> new AdapterSpecification("a" + number, "m" + number, number)));
        print("target", count -> list(count, StateSizes::target));
    }

    private static void print(String part, IntFunction<Object> factory) {
        for (int count : COUNTS) {
            long before = usedBytes();
            Object held = factory.apply(count);
            long after = usedBytes();
            System.out.println(String.format(
                    Locale.ROOT,
                    "measure=state_bytes part=%s count=%d bytes_each=%.0f",
                    part,
                    count,
                    (double) (after - before) / count));
            Reference.reachabilityFence(held);
        }
    }

    private static LoggedState reducedState(int count, IntFunction<LogRecord> record) {
        LogReducer reducer = new LogReducer(bundle -> true, document -> Optional.empty(), Long.MAX_VALUE / 2);
        LoggedState state = LoggedState.empty();
        for (int number = 0; number < count; number++) {
            state = reducer.reduce(state, new LogEntry(number, number, record.apply(number)));
        }
        return state;
    }

    private static List<Object> list(int count, IntFunction<Object> factory) {
        List<Object> items = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            items.add(factory.apply(number));
        }
        return items;
    }

    private static KeySpecification key(int number) {
        return new KeySpecification("k" + number, String.format("%064x", number), new String("workspace-1"));
    }

    private static TargetState target(int number) {
        TargetSpecification specification = new TargetSpecification(
                "engine-" + number, "10.0.0.1:" + number, "a", TargetKind.ENGINE, 80, 16, true, Optional.empty());
        EngineLoad load = new EngineLoad(
                "run" + number, 1, 0, 0, 5, List.of("m" + number, "n" + number), List.of("a" + number), 7, false);
        return TargetState.unknown(specification).reported(load, number);
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int round = 0; round < 3; round++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
