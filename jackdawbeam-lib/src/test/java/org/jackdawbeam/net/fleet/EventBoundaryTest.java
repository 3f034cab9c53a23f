package org.jackdawbeam.net.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EventBoundaryTest {
    private final EventBoundary boundary = new EventBoundary();

    private static void add(EventBoundary boundary, String text) {
        boundary.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @CsvSource({
        "'',false",
        "N,true",
        "data: aN,true",
        "data: aNN,false",
        "data: aRNRN,false",
        "aNNb,true",
        "aNNNN,false"
    })
    void endOfAStreamIsRecognized(String text, boolean inside) {
        add(boundary, text.replace('N', '\n').replace('R', '\r'));

        assertThat(boundary.isInsideEvent()).isEqualTo(inside);
    }

    @Property(tries = 500, seed = "9")
    void resultDoesNotDependOnHowBytesAreSplit(
            @ForAll @StringLength(max = 12) @CharRange(from = '\n', to = '\r') String lineEnds, @ForAll byte split) {
        String text = "a" + lineEnds + (split % 3 == 0 ? "" : "b\n\n");
        EventBoundary whole = new EventBoundary();
        EventBoundary parts = new EventBoundary();
        int at = Math.floorMod(split, text.length());

        add(whole, text);
        add(parts, text.substring(0, at));
        add(parts, text.substring(at));

        assertThat(parts.isInsideEvent()).isEqualTo(whole.isInsideEvent());
    }
}
