package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import org.jackdawbeam.model.fleet.PromptPart;
import org.junit.jupiter.api.Test;

class RequestTraitsTest {

    @Test
    void partsAreWrittenInOrderWithHexadecimalIds() {
        assertThat(RequestTraits.formatParts(List.of(new PromptPart(0x5c1e07a2L, 800), new PromptPart(-1, 5))))
                .isEqualTo("5c1e07a2:800+ffffffffffffffff:5");
    }

    @Test
    void requestWithoutPartsHasADash() {
        assertThat(RequestTraits.formatParts(List.of())).isEqualTo("-");
    }

    @Test
    void longPromptsAreCutOffInLogLines() {
        List<PromptPart> parts = Collections.nCopies(100, new PromptPart(1, 1));

        assertThat(RequestTraits.formatParts(parts).split("\\+")).hasSize(8);
    }
}
