package org.skylarkbend.control.operator;

import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.vertx.core.http.HttpServerRequest;
import org.skylarkbend.base.telemetry.Tracing;

/** Extracts the trace context from the headers of an HTTP request. */
final class HttpTraceContext {
    private static final TextMapGetter<HttpServerRequest> HEADER_GETTER =
            new TextMapGetter<>() {
                @Override
                public Iterable<String> keys(HttpServerRequest request) {
                    return request.headers().names();
                }

                @Override
                public String get(HttpServerRequest request, String name) {
                    return request == null ? null : request.getHeader(name);
                }
            };

    private HttpTraceContext() {}

    static Context of(HttpServerRequest request, Tracing tracing) {
        return tracing.propagator().extract(Context.root(), request, HEADER_GETTER);
    }
}
