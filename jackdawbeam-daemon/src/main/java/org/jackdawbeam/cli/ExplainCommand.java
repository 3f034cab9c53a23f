package org.jackdawbeam.cli;

import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.net.codec.MessageMapper;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Explains where a request would go now, and why, without sending it. */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description = "Explains where a request would go now, and why, without sending it.",
        footer = {
            "",
            "Example:",
            "  jackdawbeam explain --metrics http://10.0.0.1:9464 --host api.example --path /chat/ \\",
            "      --workspace portal --model base-7/a3 --tokens 1460,80"
        })
final class ExplainCommand implements Callable<Integer> {
    private static final Duration TIMEOUT = Duration.ofSeconds(15);

    @Option(names = "--metrics", required = true, description = "URL of the metrics port of an entry of a fleet.")
    private String metrics;

    @Option(names = "--host", required = true, description = "Host name that the caller uses.")
    private String host;

    @Option(names = "--path", required = true, description = "Path of the request.")
    private String path;

    @Option(names = "--workspace", description = "Workspace whose key the request carries; none on open routes.")
    private String workspace;

    @Option(names = "--model", description = "Model, with an adapter after a slash.")
    private String model;

    @Option(names = "--tokens", description = "Prompt tokens and maximum output tokens, as IN,OUT.")
    private String tokens;

    @Option(names = "--prompt", description = "Parts of the prompt, as ID:TOKENS,... with hexadecimal ids.")
    private String prompt;

    @Option(
            names = "--request-id",
            description = "Id of the request; it decides between the services of a route and between similar targets.")
    private String requestId;

    @Option(names = "--deadline-ms", description = "Milliseconds that the caller waits.")
    private Long deadlineMillis;

    @Override
    public Integer call() throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create(metrics).resolve("/explain?" + query()))
                .timeout(TIMEOUT)
                .build();
        try (HttpClient client = HttpClient.newHttpClient()) {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() != 200) {
                System.err.println("status " + response.statusCode() + ": " + response.body());
                return Main.EXIT_FAILED;
            }
            var mapper = MessageMapper.json().objectMapper();
            System.out.println(
                    mapper.writerWithDefaultPrettyPrinter().writeValueAsString(mapper.readTree(response.body())));
            return 0;
        } catch (IOException e) {
            throw new JackdawbeamException(ErrorCode.CONNECTION_FAILED, "no response from " + metrics, e);
        }
    }

    private String query() {
        Map<String, Object> parameters = new LinkedHashMap<>();
        parameters.put("host", host);
        parameters.put("path", path);
        parameters.put("workspace", workspace);
        parameters.put("model", model);
        parameters.put("tokens", tokens);
        parameters.put("prompt", prompt);
        parameters.put("request_id", requestId);
        parameters.put("deadline_ms", deadlineMillis);
        return parameters.entrySet().stream()
                .filter(entry -> Objects.nonNull(entry.getValue()))
                .map(entry -> entry.getKey()
                        + '='
                        + URLEncoder.encode(entry.getValue().toString(), StandardCharsets.UTF_8))
                .collect(Collectors.joining("&"));
    }
}
