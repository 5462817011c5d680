package org.carobhoist.server.state;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.TransientHttpService;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import org.carobhoist.server.metrics.ProcessMetrics;

/** HTTP routes common to all roles: health, metrics and the state dump. */
public final class AdminRoutes {

  private static final MediaType PROMETHEUS =
      MediaType.parse("text/plain; version=0.0.4; charset=utf-8");
  private static final ObjectMapper JSON = new ObjectMapper();

  private final BooleanSupplier ready;
  private final ProcessMetrics metrics;
  private final StateDump dump;

  private AdminRoutes(BooleanSupplier ready, ProcessMetrics metrics, StateDump dump) {
    this.ready = ready;
    this.metrics = metrics;
    this.dump = dump;
  }

  /**
   * Returns the routes.
   *
   * @param ready whether the process accepts work; called on any thread
   */
  public static AdminRoutes create(BooleanSupplier ready, ProcessMetrics metrics, StateDump dump) {
    return new AdminRoutes(ready, metrics, dump);
  }

  /** Adds the routes to a server. */
  public void addTo(ServerBuilder sb) {
    sb.service("/health/live", probe(() -> true));
    sb.service("/health/ready", probe(ready));
    sb.service(
        "/metrics", (ctx, req) -> HttpResponse.of(metrics.scrape().thenApply(AdminRoutes::page)));
    sb.service(
        "/state", (ctx, req) -> HttpResponse.of(dump.collect().thenApply(AdminRoutes::json)));
  }

  /**
   * Returns a health route. It is marked transient so that health checks don't count as requests in
   * flight; otherwise a planned stop would wait until no more of them arrive.
   */
  private static HttpService probe(BooleanSupplier healthy) {
    HttpService service =
        (ctx, req) ->
            HttpResponse.of(
                healthy.getAsBoolean() ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE);
    return service.decorate(TransientHttpService.newDecorator());
  }

  private static HttpResponse page(String metrics) {
    return HttpResponse.of(HttpStatus.OK, PROMETHEUS, metrics);
  }

  private static HttpResponse json(Object value) {
    try {
      return HttpResponse.of(HttpStatus.OK, MediaType.JSON, JSON.writeValueAsString(value));
    } catch (JsonProcessingException e) {
      throw new CompletionException(e);
    }
  }
}
