package org.jackdawbeam.cli;

import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import java.util.Optional;
import org.jackdawbeam.model.member.Member;

/** Exports traces over OTLP if an endpoint is configured. */
final class Tracing implements AutoCloseable {
    private static final String PATH = "/v1/traces";

    private final OpenTelemetry openTelemetry;
    private final Optional<SdkTracerProvider> provider;

    private Tracing(OpenTelemetry openTelemetry, Optional<SdkTracerProvider> provider) {
        this.openTelemetry = openTelemetry;
        this.provider = provider;
    }

    static Tracing create(Optional<String> endpoint, Member self) {
        if (endpoint.isEmpty()) {
            return new Tracing(OpenTelemetry.noop(), Optional.empty());
        }
        Resource resource = Resource.create(Attributes.of(
                AttributeKey.stringKey("service.name"),
                "jackdawbeam",
                AttributeKey.stringKey("host.name"),
                self.hostId()));
        OtlpHttpSpanExporter exporter = OtlpHttpSpanExporter.builder()
                .setEndpoint(endpoint.get() + PATH)
                .build();
        SdkTracerProvider provider = SdkTracerProvider.builder()
                .setResource(resource)
                .addSpanProcessor(BatchSpanProcessor.builder(exporter).build())
                .build();
        OpenTelemetry sdk =
                OpenTelemetrySdk.builder().setTracerProvider(provider).build();
        return new Tracing(sdk, Optional.of(provider));
    }

    OpenTelemetry openTelemetry() {
        return openTelemetry;
    }

    @Override
    public void close() {
        provider.ifPresent(SdkTracerProvider::close);
    }
}
