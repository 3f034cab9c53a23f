package org.jackdawbeam.logic.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RequestFingerprintTest {
    private static final Optional<String> KEY = Optional.of("key");

    private static long fingerprint(String method, String uri, Optional<String> key, String body) {
        return fingerprint(method, uri, key, "m1", "1:10", body);
    }

    private static long fingerprint(
            String method, String uri, Optional<String> key, String model, String prompt, String body) {
        return RequestFingerprint.of(method, uri, key, model, prompt, body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void copiesOfOneRequestHaveTheSameFingerprint() {
        assertThat(fingerprint("POST", "/pay/7", KEY, "body")).isEqualTo(fingerprint("POST", "/pay/7", KEY, "body"));
    }

    @Test
    void requestsThatDifferInAnyFieldHaveDifferentFingerprints() {
        assertThat(new long[] {
                    fingerprint("POST", "/pay/7", KEY, "body"),
                    fingerprint("GET", "/pay/7", KEY, "body"),
                    fingerprint("POST", "/pay/8", KEY, "body"),
                    fingerprint("POST", "/pay/7?a=1", KEY, "body"),
                    fingerprint("POST", "/pay/7", Optional.of("other"), "body"),
                    fingerprint("POST", "/pay/7", Optional.empty(), "body"),
                    fingerprint("POST", "/pay/7", KEY, "other"),
                    fingerprint("POST", "/pay/7", KEY, "m2", "1:10", "body"),
                    fingerprint("POST", "/pay/7", KEY, "m1", "2:10", "body")
                })
                .doesNotHaveDuplicates();
    }

    // Guards against a caller that moves bytes from one field to the next to pass for another.
    @Test
    void bytesThatMoveToAnotherFieldChangeTheFingerprint() {
        assertThat(fingerprint("POST", "/pay/7k", Optional.of("ey"), "body"))
                .isNotEqualTo(fingerprint("POST", "/pay/7", KEY, "body"));
    }
}
