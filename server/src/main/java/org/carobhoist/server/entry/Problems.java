package org.carobhoist.server.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import java.util.Optional;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RequestId;
import org.carobhoist.core.idempotency.RequestKey;

/** Writes refusals as problem details (RFC 9457), with the verdict in a response header. */
final class Problems {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long MILLIS_PER_SECOND = 1_000;

  /** The problem details object, written as JSON. */
  record Body(
      String type, String title, int status, String detail, String verdict, String request) {}

  private Problems() {}

  /** Returns a response that refuses the request. */
  static HttpResponse response(RequestId request, Refusal refusal) {
    HttpResponseWriter out = HttpResponse.streaming();
    write(out, request, refusal);
    return out;
  }

  /** Writes the refusal as the complete response and closes it. */
  static void write(HttpResponseWriter out, RequestId request, Refusal refusal) {
    write(out, request, Optional.empty(), refusal);
  }

  /** Writes the refusal of a request with an idempotency key, and closes the response. */
  static void write(
      HttpResponseWriter out, RequestId request, Optional<RequestKey> key, Refusal refusal) {
    ResponseHeadersBuilder b =
        ResponseHeaders.builder(refusal.reason().status())
            .add("content-type", "application/problem+json")
            .add(CarobhoistHeaders.VERDICT, refusal.verdict().name())
            .add(CarobhoistHeaders.REQUEST_ID, request.value());
    key.ifPresent(k -> b.add(CarobhoistHeaders.IDEMPOTENCY_KEY, k.toString()));
    if (!refusal.retryAfter().isZero()) {
      long millis = refusal.retryAfter().toMillis();
      b.add("retry-after", Long.toString(Math.max(1, millis / MILLIS_PER_SECOND)));
    }
    out.tryWrite(b.build());
    out.tryWrite(HttpData.wrap(body(request, refusal)));
    out.close();
  }

  private static byte[] body(RequestId request, Refusal refusal) {
    String name = refusal.reason().name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    Body body =
        new Body(
            "urn:carobhoist:problem:" + name,
            name.replace('-', ' '),
            refusal.reason().status(),
            refusal.detail(),
            refusal.verdict().name(),
            request.value());
    try {
      return JSON.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
