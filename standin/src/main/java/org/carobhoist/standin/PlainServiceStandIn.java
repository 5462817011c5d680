package org.carobhoist.standin;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.ServerBuilder;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for a plain service, such as bookings; counts the requests by their body. */
public final class PlainServiceStandIn {

  private final StandInServer server = new StandInServer(this::routes);
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private volatile Duration delay = Duration.ZERO;

  /** Starts the stand-in. */
  public void start() {
    server.start();
  }

  /** Stops the stand-in at once, as in a crash. */
  public void stop() {
    server.stop();
  }

  /** Returns its base URL. */
  public URI uri() {
    return server.uri();
  }

  /** Sets the time after which the service responds to each request. */
  public void setDelay(Duration value) {
    delay = value;
  }

  /** Returns the number of requests received for each body. */
  public Map<String, AtomicInteger> runs() {
    return runs;
  }

  private void routes(ServerBuilder sb) {
    sb.serviceUnder("/", (ctx, req) -> HttpResponse.of(req.aggregate().thenApply(this::run)));
  }

  private HttpResponse run(AggregatedHttpRequest request) {
    if (request.path().equals("/load")) {
      return StandInServer.json(Map.of("running", 0, "waiting", 0));
    }
    String body = request.contentUtf8();
    runs.computeIfAbsent(body, key -> new AtomicInteger()).incrementAndGet();
    HttpResponse response =
        HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT_UTF_8, "done " + body);
    return delay.isZero() ? response : HttpResponse.delayed(response, delay);
  }
}
