package org.carobhoist.server.gateway;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.carobhoist.platform.CallHeaders;

/**
 * Counts the requests in flight. While the process drains, each connection is closed after its
 * answer; at the very end requests are refused at once, so that none is cut while it runs.
 */
final class Traffic {

  private static final int UNAVAILABLE = 503;

  /** When to come back; other processes take the request at once. */
  private static final Duration RETRY_AFTER = Duration.ofMillis(50);

  private final AtomicInteger inFlight = new AtomicInteger();
  private final BooleanSupplier draining;
  private volatile boolean refusing;

  Traffic(BooleanSupplier draining) {
    this.draining = draining;
  }

  HttpResponse serve(HttpService next, ServiceRequestContext ctx, HttpRequest req)
      throws Exception {
    if (draining.getAsBoolean()) {
      ctx.initiateConnectionShutdown();
    }
    if (refusing) {
      String id = CallHeaders.requestId(req.headers());
      return HttpResponse.of(CallHeaders.own(UNAVAILABLE, id, Optional.of(RETRY_AFTER)));
    }
    inFlight.incrementAndGet();
    ctx.log().whenComplete().thenRun(inFlight::decrementAndGet);
    return next.serve(ctx, req);
  }

  /** Refuses what comes from now on. */
  void refuse() {
    refusing = true;
  }

  /** Returns the number of requests that are being answered. */
  int inFlight() {
    return inFlight.get();
  }
}
