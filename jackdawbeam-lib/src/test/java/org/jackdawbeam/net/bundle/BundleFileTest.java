package org.jackdawbeam.net.bundle;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.jackdawbeam.model.log.LogRecord.BundleRolled;
import org.jackdawbeam.net.codec.MessageMapper;
import org.junit.jupiter.api.Test;

class BundleFileTest {
    private static final String VALID = """
            name: riga
            models:
              - {name: invoices, bytes: 10, minimumReplicas: 1}
            workspaces:
              - {name: portal, tokensPerSecond: 10, burstTokens: 20}
            targets:
              - {name: engine, address: "127.0.0.1:1", zone: a, kind: ENGINE, capacityBytes: 20, cacheReserveBytes: 5}
            """;
    private final BundleFile files = new BundleFile(MessageMapper.json());

    @Test
    void validFileIsReadAndItsDocumentCanBeDecoded() {
        BundleFile.Result.Valid valid = (BundleFile.Result.Valid) files.read(VALID);

        assertThat(valid.bundle().models()).hasSize(1);
        assertThat(files.decode(valid.document())).contains(valid.bundle());
    }

    @Test
    void allErrorsAreReportedTogetherWithTheirLines() {
        String invalid = VALID.replace("bytes: 10", "bytes: ten").replace("burstTokens: 20", "burstTokens: -1")
                + "colour: blue\n";

        List<BundleProblem> problems = problems(invalid);

        assertThat(problems).extracting(BundleProblem::line).contains(3, 5);
        assertThat(problems).extracting(BundleProblem::path).contains("/models/0/bytes", "/workspaces/0/burstTokens");
        assertThat(problems).anyMatch(problem -> problem.message().contains("colour"));
    }

    @Test
    void unknownReferencesAndModelsTooLargeForAllTargetsAreReported() {
        String invalid =
                VALID.replace("bytes: 10", "bytes: 16") + "adapters:\n  - {name: a, model: nobody, bytes: 1}\n";

        assertThat(problems(invalid)).extracting(BundleProblem::path).contains("/models/0/bytes", "/adapters/0/model");
    }

    @Test
    void malformedOrEmptyFileIsReportedAsOneProblem() {
        assertThat(problems("name: [")).hasSize(1);
        assertThat(problems("")).hasSize(1);
    }

    @Test
    void signatureCoversVersionAndDocument() {
        BundleSignatures.EncodedKeys keys = BundleSignatures.generate();
        String signature = BundleSignatures.sign(keys.privateKey(), 2, "document");
        var verifier = BundleSignatures.verifier(keys.publicKey());

        assertThat(verifier.accepts(new BundleRolled("r", 1, 2, "document", signature)))
                .isTrue();
        assertThat(verifier.accepts(new BundleRolled("r", 2, 3, "document", signature)))
                .isFalse();
        assertThat(verifier.accepts(new BundleRolled("r", 1, 2, "other", signature)))
                .isFalse();
        assertThat(verifier.accepts(new BundleRolled("r", 1, 2, "document", "!!")))
                .isFalse();
    }

    private List<BundleProblem> problems(String text) {
        return ((BundleFile.Result.Invalid) files.read(text)).problems();
    }
}
