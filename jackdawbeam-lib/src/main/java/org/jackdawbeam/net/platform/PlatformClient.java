package org.jackdawbeam.net.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.model.log.LogEntry;
import org.jackdawbeam.model.log.LogRecord;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.http.BufferedHttpClient;
import org.jackdawbeam.net.http.BufferedHttpResponse;

/** HTTP client of the platform's log and host list. */
public final class PlatformClient {
    private static final long READ_TIMEOUT_MILLIS = 2_000;
    private static final long APPEND_TIMEOUT_MILLIS = 2_000;
    private static final int READ_LIMIT = 512;
    private static final byte[] NO_BODY = new byte[0];
    private static final Map<String, String> JSON = Map.of("content-type", "application/json");

    private final InetSocketAddress address;
    private final BufferedHttpClient httpClient;
    private final MessageMapper mapper;

    /**
     * A range of consecutive log entries.
     *
     * @param entries log entries ordered by offset
     * @param headOffset offset that the next appended record will get
     */
    public record LogPage(List<LogEntry> entries, long headOffset) {}

    public PlatformClient(InetSocketAddress address, BufferedHttpClient httpClient, MessageMapper mapper) {
        this.address = address;
        this.httpClient = httpClient;
        this.mapper = mapper;
    }

    /** Reads the log from the given offset. The future fails if any of the records cannot be decoded. */
    public CompletableFuture<LogPage> read(long fromOffset) {
        String uri = "/log/records?from=" + fromOffset + "&limit=" + READ_LIMIT;
        return httpClient
                .send(address, "GET", uri, Map.of(), NO_BODY, READ_TIMEOUT_MILLIS)
                .thenApply(this::parseLogPage);
    }

    /** Appends records in one request. The future fails if the log has not confirmed them. */
    public CompletableFuture<Void> append(List<LogRecord> records) {
        List<JsonNode> values =
                records.stream().map(record -> parseJson(mapper.write(record))).toList();
        byte[] body = mapper.write(Map.of("records", values));
        return httpClient
                .send(address, "POST", "/log/records", JSON, body, APPEND_TIMEOUT_MILLIS)
                .thenAccept(PlatformClient::requireSuccess);
    }

    /** Returns the names of the targets that the platform lists as leaving. */
    public CompletableFuture<Set<String>> leavingHosts() {
        return httpClient
                .send(address, "GET", "/hosts", Map.of(), NO_BODY, READ_TIMEOUT_MILLIS)
                .thenApply(this::parseLeavingHosts);
    }

    private LogPage parseLogPage(BufferedHttpResponse response) {
        requireSuccess(response);
        JsonNode tree = parseJson(response.body());
        List<LogEntry> entries = new ArrayList<>();
        for (JsonNode node : tree.path("records")) {
            entries.add(parseEntry(node));
        }
        return new LogPage(entries, tree.path("head").longValue());
    }

    private LogEntry parseEntry(JsonNode node) {
        try {
            LogRecord record = mapper.objectMapper().treeToValue(node.path("value"), LogRecord.class);
            return new LogEntry(
                    node.path("offset").longValue(),
                    node.path("timestampMillis").longValue(),
                    record);
        } catch (IOException e) {
            throw new JackdawbeamException(ErrorCode.MESSAGE_MALFORMED, "a log record cannot be read", e);
        }
    }

    private Set<String> parseLeavingHosts(BufferedHttpResponse response) {
        requireSuccess(response);
        Set<String> names = new HashSet<>();
        for (JsonNode host : parseJson(response.body()).path("hosts")) {
            if ("leaving".equals(host.path("state").asText())) {
                names.add(host.path("name").asText());
            }
        }
        return names;
    }

    private JsonNode parseJson(byte[] body) {
        try {
            return mapper.objectMapper().readTree(body);
        } catch (IOException e) {
            throw new JackdawbeamException(ErrorCode.MESSAGE_MALFORMED, "the platform's response is not valid JSON", e);
        }
    }

    private static void requireSuccess(BufferedHttpResponse response) {
        if (!response.isSuccess()) {
            throw new JackdawbeamException(
                    ErrorCode.PLATFORM_UNAVAILABLE, "the platform responded with status " + response.status());
        }
    }
}
