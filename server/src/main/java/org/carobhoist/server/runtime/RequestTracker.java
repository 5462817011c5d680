package org.carobhoist.server.runtime;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.carobhoist.core.common.Clock;

/**
 * Tracks the requests in flight. While the process drains, each connection is closed after its
 * response. In the last phase of the stop, new requests are refused immediately: the HTTP library's
 * own shutdown aborts requests that arrive between its quiet period and its end, and a request must
 * not be aborted while it runs.
 */
public final class RequestTracker {

  /** Interval between two checks whether requests are still in flight. */
  private static final Duration IDLE_CHECK_PERIOD = Duration.ofMillis(200);

  /**
   * Time until an HTTP/2 connection closes after the client was told to open no more streams. The
   * library then aborts the open streams, so it is longer than any stop.
   */
  private static final Duration MULTIPLEX_DRAIN_TIME = Duration.ofMinutes(10);

  private final AtomicInteger inFlight = new AtomicInteger();
  private final BooleanSupplier draining;
  private final Function<HttpRequest, HttpResponse> refusal;
  private volatile boolean refusing;

  private RequestTracker(BooleanSupplier draining, Function<HttpRequest, HttpResponse> refusal) {
    this.draining = draining;
    this.refusal = refusal;
  }

  /**
   * Creates a tracker with no requests in flight.
   *
   * @param draining whether the process is draining
   * @param refusal creates the response to a request in the last phase of the stop; it must state
   *     that the request was not run
   */
  public static RequestTracker create(
      BooleanSupplier draining, Function<HttpRequest, HttpResponse> refusal) {
    return new RequestTracker(draining, refusal);
  }

  /** Serves or refuses a request. Used as a decorator of all HTTP services of a server. */
  public HttpResponse serve(HttpService next, ServiceRequestContext ctx, HttpRequest req)
      throws Exception {
    if (draining.getAsBoolean()) {
      closeConnectionAfterResponse(ctx);
    }
    if (refusing) {
      return refusal.apply(req);
    }
    inFlight.incrementAndGet();
    ctx.log().whenComplete().thenRun(inFlight::decrementAndGet);
    return next.serve(ctx, req);
  }

  private static void closeConnectionAfterResponse(ServiceRequestContext ctx) {
    if (ctx.sessionProtocol().isMultiplex()) {
      ctx.initiateConnectionShutdown(MULTIPLEX_DRAIN_TIME);
    } else {
      ctx.initiateConnectionShutdown();
    }
  }

  /** Refuses all requests that arrive from now on. */
  public void refuseNewRequests() {
    refusing = true;
  }

  /** Returns the number of requests in flight. */
  public int inFlight() {
    return inFlight.get();
  }

  /**
   * Waits until no request is in flight and the rest of the process is idle, or until the time
   * limit is reached. The returned future completes on the loop.
   *
   * @param limit maximum time to wait
   * @param restIdle whether the rest of the process is idle
   */
  public CompletableFuture<Void> awaitIdle(
      DecisionLoop loop, Clock clock, Duration limit, BooleanSupplier restIdle) {
    CompletableFuture<Void> idle = new CompletableFuture<>();
    Duration deadline = clock.elapsed().plus(limit);
    loop.execute(() -> checkIdle(loop, clock, deadline, restIdle, idle));
    return idle;
  }

  private void checkIdle(
      DecisionLoop loop,
      Clock clock,
      Duration deadline,
      BooleanSupplier restIdle,
      CompletableFuture<Void> idle) {
    boolean finished = inFlight.get() == 0 && restIdle.getAsBoolean();
    if (finished || clock.elapsed().compareTo(deadline) >= 0) {
      idle.complete(null);
    } else {
      loop.after(IDLE_CHECK_PERIOD, () -> checkIdle(loop, clock, deadline, restIdle, idle));
    }
  }
}
