package org.jackdawbeam.net.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.model.request.Call.CompletionCall;

/** Reads the fields of a completion request that routing and limits need. All other fields are forwarded unchanged. */
final class CompletionReader {
    private static final int DEFAULT_MAXIMUM_TOKENS = 256;
    private static final int MAXIMUM_TOKENS_LIMIT = 32_768;
    private static final int BYTES_PER_TOKEN = 4;
    private static final int PREFIX_BLOCK_BYTES = 256;
    private static final int MAXIMUM_PREFIX_BLOCKS = 32;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final ObjectMapper mapper;

    CompletionReader(ObjectMapper mapper) {
        this.mapper = mapper;
    }

    /** Parses the body as a JSON object. */
    ObjectNode parse(byte[] body) {
        try {
            JsonNode tree = mapper.readTree(body);
            if (tree instanceof ObjectNode object) {
                return object;
            }
        } catch (IOException e) {
            throw new JackdawbeamException(ErrorCode.MESSAGE_MALFORMED, "the body is not valid JSON", e);
        }
        throw malformed("the body must be a JSON object");
    }

    /**
     * Returns the call that the body describes. A body without a token limit gets the default limit, which is
     * forwarded to the target as well.
     */
    CompletionCall read(ObjectNode body, boolean chat) {
        String model = requiredString(body, "model");
        String prompt = chat ? joinMessages(body) : requiredString(body, "prompt");
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        int promptTokens = Math.max(1, (bytes.length + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
        return new CompletionCall(model, promptTokens, prefixHashes(bytes), maximumTokens(body), streamed(body));
    }

    private static String requiredString(ObjectNode body, String field) {
        JsonNode value = body.get(field);
        if (value == null || !value.isTextual() || value.textValue().isEmpty()) {
            throw malformed("\"" + field + "\" must be a non-empty string");
        }
        return value.textValue();
    }

    private static String joinMessages(ObjectNode body) {
        JsonNode messages = body.get("messages");
        if (messages == null || !messages.isArray() || messages.isEmpty()) {
            throw malformed("\"messages\" must be a non-empty array");
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode message : messages) {
            boolean valid = message.isObject() && message.path("role").isTextual() && message.has("content");
            if (!valid) {
                throw malformed("each message needs \"role\" and \"content\"");
            }
            text.append(message.get("role").textValue()).append('\n');
            JsonNode content = message.get("content");
            text.append(content.isTextual() ? content.textValue() : content.toString());
            text.append('\n');
        }
        return text.toString();
    }

    private static int maximumTokens(ObjectNode body) {
        JsonNode value = body.has("max_completion_tokens") ? body.get("max_completion_tokens") : body.get("max_tokens");
        if (value == null || value.isNull()) {
            body.put("max_tokens", DEFAULT_MAXIMUM_TOKENS);
            return DEFAULT_MAXIMUM_TOKENS;
        }
        boolean valid = value.isInt() && value.intValue() >= 1 && value.intValue() <= MAXIMUM_TOKENS_LIMIT;
        if (!valid) {
            throw malformed("\"max_tokens\" must be between 1 and " + MAXIMUM_TOKENS_LIMIT);
        }
        return value.intValue();
    }

    private static boolean streamed(ObjectNode body) {
        JsonNode value = body.get("stream");
        if (value == null || value.isNull()) {
            return false;
        }
        if (!value.isBoolean()) {
            throw malformed("\"stream\" must be true or false");
        }
        return value.booleanValue();
    }

    private static List<Long> prefixHashes(byte[] prompt) {
        List<Long> hashes = new ArrayList<>();
        long hash = FNV_OFFSET;
        int blocks = Math.min(MAXIMUM_PREFIX_BLOCKS, prompt.length / PREFIX_BLOCK_BYTES);
        for (int block = 0; block < blocks; block++) {
            for (int index = block * PREFIX_BLOCK_BYTES; index < (block + 1) * PREFIX_BLOCK_BYTES; index++) {
                hash = (hash ^ prompt[index]) * FNV_PRIME;
            }
            hashes.add(hash);
        }
        return hashes;
    }

    private static JackdawbeamException malformed(String message) {
        return new JackdawbeamException(ErrorCode.MESSAGE_MALFORMED, message);
    }
}
