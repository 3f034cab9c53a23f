package org.jackdawbeam.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;
import picocli.CommandLine.Option;

/** Client of an entry's administration API, with the command-line flags that configure it. */
final class AdministrationClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(15);

    @Option(names = "--admin", required = true, description = "URL of any entry's administration API.")
    String admin;

    @Option(names = "--operator-key", required = true, description = "Operator key; preferably set in the environment.")
    String operatorKey;

    /** Response of the administration API. */
    record Response(int status, String body) {
        boolean isSuccess() {
            return status / 100 == 2;
        }
    }

    Response call(String method, String resource, String body) {
        HttpRequest request = HttpRequest.newBuilder(URI.create(admin + "/admin/v1/" + resource))
                .timeout(TIMEOUT)
                .header("authorization", "Bearer " + operatorKey)
                .header("content-type", "application/json")
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        try (HttpClient client = HttpClient.newHttpClient()) {
            HttpResponse<String> httpResponse = client.send(request, HttpResponse.BodyHandlers.ofString());
            return new Response(httpResponse.statusCode(), httpResponse.body());
        } catch (IOException e) {
            throw new JackdawbeamException(ErrorCode.CONNECTION_FAILED, "no response from " + admin, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new JackdawbeamException(ErrorCode.CONNECTION_FAILED, "interrupted while waiting for a response", e);
        }
    }

    /** Calls the API, prints the response and returns the exit code. */
    int callAndPrint(String method, String resource, String body) {
        Response response = call(method, resource, body);
        (response.isSuccess() ? System.out : System.err).println(response.body());
        return response.isSuccess() ? 0 : Main.EXIT_FAILED;
    }
}
