package org.jackdawbeam.net.trace;

import io.netty.handler.codec.http.HttpHeaders;
import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.context.propagation.TextMapSetter;

/** Creates spans and propagates the W3C trace context in HTTP headers such as {@code traceparent}. */
public final class Tracing {
    private static final W3CTraceContextPropagator PROPAGATOR = W3CTraceContextPropagator.getInstance();
    private static final TextMapSetter<HttpHeaders> SETTER = HttpHeaders::set;
    private static final TextMapGetter<HttpHeaders> GETTER = new HeadersGetter();

    private final Tracer tracer;

    public Tracing(OpenTelemetry openTelemetry) {
        this.tracer = openTelemetry.getTracer("org.jackdawbeam");
    }

    /** Starts the span of a received request, as a child of the caller's span if the headers contain one. */
    public Span startServerSpan(String name, HttpHeaders headers) {
        Context parent = PROPAGATOR.extract(Context.root(), headers, GETTER);
        return tracer.spanBuilder(name)
                .setSpanKind(SpanKind.SERVER)
                .setParent(parent)
                .startSpan();
    }

    /** Starts the span of an attempt at a target and adds its context to the headers. */
    public Span startClientSpan(String name, Span parent, HttpHeaders headers) {
        Context context = Context.root().with(parent);
        Span span = tracer.spanBuilder(name)
                .setSpanKind(SpanKind.CLIENT)
                .setParent(context)
                .startSpan();
        PROPAGATOR.inject(context.with(span), headers, SETTER);
        return span;
    }

    private static final class HeadersGetter implements TextMapGetter<HttpHeaders> {
        @Override
        public Iterable<String> keys(HttpHeaders headers) {
            return headers.names();
        }

        @Override
        public String get(HttpHeaders headers, String key) {
            return headers == null ? null : headers.get(key);
        }
    }
}
