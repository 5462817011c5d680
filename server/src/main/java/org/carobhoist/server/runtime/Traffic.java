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
 * Counts the requests in flight. While the process drains, each connection is closed after its
 * answer; at the very end requests are refused at once, so that none is cut while it runs: the
 * library's own stop cuts whatever comes between its quiet time and its end.
 */
public final class Traffic {

  /** Time between two looks at what is still in flight. */
  private static final Duration LOOK_PERIOD = Duration.ofMillis(200);

  private final AtomicInteger inFlight = new AtomicInteger();
  private final BooleanSupplier draining;
  private final Function<HttpRequest, HttpResponse> refusal;
  private volatile boolean refusing;

  private Traffic(BooleanSupplier draining, Function<HttpRequest, HttpResponse> refusal) {
    this.draining = draining;
    this.refusal = refusal;
  }

  /**
   * Returns a counter without requests.
   *
   * @param draining whether the process drains
   * @param refusal the answer to a request that comes at the very end; it must say "not run"
   */
  public static Traffic create(
      BooleanSupplier draining, Function<HttpRequest, HttpResponse> refusal) {
    return new Traffic(draining, refusal);
  }

  /** Serves a request, or refuses it; a decorator of all services of a server. */
  public HttpResponse serve(HttpService next, ServiceRequestContext ctx, HttpRequest req)
      throws Exception {
    if (draining.getAsBoolean()) {
      ctx.initiateConnectionShutdown();
    }
    if (refusing) {
      return refusal.apply(req);
    }
    inFlight.incrementAndGet();
    ctx.log().whenComplete().thenRun(inFlight::decrementAndGet);
    return next.serve(ctx, req);
  }

  /** Refuses what comes from now on. */
  public void refuse() {
    refusing = true;
  }

  /** Returns the number of requests that are being answered. */
  public int inFlight() {
    return inFlight.get();
  }

  /**
   * Completes on the loop once no request is in flight and the rest of the process is idle too, or
   * when the time is up.
   *
   * @param limit longest time to wait
   * @param rest whether everything else has ended
   */
  public CompletableFuture<Void> awaitIdle(
      DecisionLoop loop, Clock clock, Duration limit, BooleanSupplier rest) {
    CompletableFuture<Void> idle = new CompletableFuture<>();
    Duration until = clock.elapsed().plus(limit);
    loop.execute(() -> look(loop, clock, until, rest, idle));
    return idle;
  }

  private void look(
      DecisionLoop loop,
      Clock clock,
      Duration until,
      BooleanSupplier rest,
      CompletableFuture<Void> idle) {
    boolean over = inFlight.get() == 0 && rest.getAsBoolean();
    if (over || clock.elapsed().compareTo(until) >= 0) {
      idle.complete(null);
    } else {
      loop.after(LOOK_PERIOD, () -> look(loop, clock, until, rest, idle));
    }
  }
}
