package org.jackdawbeam.net.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EmbeddedHeadFinderTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nid: a1\r\nseal: s\r\n\r\n";

    private final EmbeddedHeadFinder finder = new EmbeddedHeadFinder(
            (name, value) -> name.equals("id") && Set.of("a1", "a2").contains(value));

    private boolean add(String text) {
        return finder.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                HEAD,
                "body" + HEAD,
                "HTTP/1.1 and HHTTP/1.0 503 No\r\nseal: s\r\nid:a2\r\n",
                "HTTP/1.1 200 OK\r\nnothing\r\n" + HEAD,
                "HTTP/1.1 200 OK\r\nseal: s\r\n" + HEAD,
                "HTTP/1.1 200 OK\r\nseal: s" + HEAD,
                "HTTP/1.1 100 Continue\r\n\r\n" + HEAD,
                "HTTP/1.1  500 Błąd\r\nseal: s\r\n folded\r\nid: a1\r\n",
                "HTTP/1.1 000 Unknown\r\nid: a1\r\n",
                "HTTP/1.1 0 Unknown\r\nid: a1\r\n",
                "HTTP/1.1 +200 OK\r\nid: a1\r\n"
            })
    void headThatNamesACarriedRequestIsFound(String body) {
        assertThat(add(body)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "id: a1\r\n",
                "HTTP/1.1 200 OK\r\nid: other\r\n\r\n",
                "HTTP/1.1 200 OK\r\ncontent-type: a1\r\n\r\n",
                "GET / HTTP/1.1\r\nid: a1\r\n\r\n",
                "HTTP/1.1 200 OK\r\n\r\nid: a1\r\n",
                "HTTP/1.1 is a protocol\nid: a1\n"
            })
    void bodyWithoutSuchAHeadIsAccepted(String body) {
        assertThat(add(body)).isFalse();
    }

    @Test
    void headThatArrivesByteByByteIsFound() {
        boolean found = false;
        for (char next : ("x" + HEAD).toCharArray()) {
            found = add(String.valueOf(next));
        }

        assertThat(found).isTrue();
    }
}
