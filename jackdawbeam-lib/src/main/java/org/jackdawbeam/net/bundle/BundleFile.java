package org.jackdawbeam.net.bundle;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jackdawbeam.logic.configuration.BundleDecoder;
import org.jackdawbeam.logic.configuration.BundleRules;
import org.jackdawbeam.model.bundle.Bundle;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.net.codec.MessageMapper;

/** Parses and validates bundles. Files are YAML or JSON; log records contain JSON. */
public final class BundleFile implements BundleDecoder {
    private static final String SCHEMA = "/org/jackdawbeam/bundle.schema.json";

    private final MessageMapper json;
    private final ObjectMapper yaml = new ObjectMapper(new YAMLFactory());
    private final JsonSchema schema;

    /** Result of reading a file: the bundle, or all errors in the file. */
    public sealed interface Result {
        /** A valid bundle and its JSON document. */
        record Valid(Bundle bundle, String document) implements Result {}

        /** All errors of an invalid file, ordered by line. */
        record Invalid(List<BundleProblem> problems) implements Result {}
    }

    public BundleFile(MessageMapper json) {
        this.json = json;
        try (InputStream stream = BundleFile.class.getResourceAsStream(SCHEMA)) {
            this.schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                    .getSchema(
                            stream,
                            SchemaValidatorsConfig.builder()
                                    .pathType(PathType.JSON_POINTER)
                                    .build());
        } catch (IOException e) {
            throw new JackdawbeamException(ErrorCode.INTERNAL, "the bundle schema cannot be read", e);
        }
    }

    /** Parses and validates the text of a file. */
    public Result read(String text) {
        JsonNode tree;
        try {
            tree = yaml.readTree(text);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            return new Result.Invalid(List.of(new BundleProblem(line, "", "not valid YAML or JSON")));
        }
        if (tree == null || tree instanceof MissingNode) {
            return new Result.Invalid(List.of(new BundleProblem(0, "", "the file is empty")));
        }
        LineFinder lines = new LineFinder(text);
        List<BundleProblem> problems = new ArrayList<>();
        for (ValidationMessage message : schema.validate(tree)) {
            String path = message.getInstanceLocation().toString();
            problems.add(new BundleProblem(lines.lineOf(path), path, messageOf(message)));
        }
        if (problems.isEmpty()) {
            Bundle bundle = bundle(tree);
            BundleRules.check(bundle)
                    .forEach(violation -> problems.add(
                            new BundleProblem(lines.lineOf(violation.path()), violation.path(), violation.message())));
            if (problems.isEmpty()) {
                return new Result.Valid(bundle, tree.toString());
            }
        }
        problems.sort(Comparator.comparingInt(BundleProblem::line).thenComparing(BundleProblem::path));
        return new Result.Invalid(List.copyOf(problems));
    }

    @Override
    public Optional<Bundle> decode(String document) {
        return read(document) instanceof Result.Valid valid ? Optional.of(valid.bundle()) : Optional.empty();
    }

    private Bundle bundle(JsonNode tree) {
        return json.read(tree.toString().getBytes(StandardCharsets.UTF_8), Bundle.class);
    }

    private static String messageOf(ValidationMessage message) {
        String text = message.getMessage();
        String prefix = message.getInstanceLocation().toString() + ": ";
        return text.startsWith(prefix) ? text.substring(prefix.length()) : text;
    }
}
