package org.jackdawbeam.net.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.model.request.Call.CompletionCall;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CompletionReaderTest {
    private final CompletionReader reader = new CompletionReader(new ObjectMapper());

    @Test
    void readsFieldsNeededForRouting() {
        CompletionCall call = read("{\"model\":\"m\",\"prompt\":\"" + "x".repeat(600) + "\",\"max_tokens\":9}", false);

        assertThat(call.modelName()).isEqualTo("m");
        assertThat(call.promptTokens()).isEqualTo(150);
        assertThat(call.maximumTokens()).isEqualTo(9);
        assertThat(call.prefixHashes()).hasSize(2);
        assertThat(call.streamed()).isFalse();
    }

    @Test
    void promptsWithACommonPrefixShareItsHashes() {
        String common = "y".repeat(512);
        CompletionCall first = read("{\"model\":\"m\",\"prompt\":\"" + common + "a".repeat(300) + "\"}", false);
        CompletionCall second = read("{\"model\":\"m\",\"prompt\":\"" + common + "b".repeat(300) + "\"}", false);

        assertThat(first.prefixHashes().subList(0, 2))
                .isEqualTo(second.prefixHashes().subList(0, 2));
        assertThat(first.prefixHashes().get(2))
                .isNotEqualTo(second.prefixHashes().get(2));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "null",
                "[]",
                "{\"prompt\":\"x\"}",
                "{\"model\":\"\",\"prompt\":\"x\"}",
                "{\"model\":\"m\",\"prompt\":7}",
                "{\"model\":\"m\",\"prompt\":\"x\",\"stream\":\"yes\"}",
                "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":1e9}",
                "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":-1}"
            })
    void invalidBodiesAreReportedAsMalformed(String body) {
        assertThatExceptionOfType(JackdawbeamException.class)
                .isThrownBy(() -> read(body, false))
                .matches(failure -> failure.code() == ErrorCode.MESSAGE_MALFORMED);
    }

    @Property(tries = 500, seed = "11")
    void anyTextGivesACallOrAMalformedError(@ForAll String text, @ForAll boolean chat) {
        try {
            new CompletionReaderTest().read(text, chat);
        } catch (JackdawbeamException e) {
            assertThat(e.code()).isEqualTo(ErrorCode.MESSAGE_MALFORMED);
        }
    }

    private CompletionCall read(String body, boolean chat) {
        return reader.read(reader.parse(body.getBytes(StandardCharsets.UTF_8)), chat);
    }
}
