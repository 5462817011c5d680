package org.carobhoist.server.runtime;

import static com.google.common.truth.Truth.assertThat;

import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class RequestTrackerTest {

  private static final Duration LONG = Duration.ofHours(1);

  private final DecisionLoop loop = DecisionLoop.create("test");
  private final AtomicInteger served = new AtomicInteger();
  private final RequestTracker tracker =
      RequestTracker.create(() -> false, r -> HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE));

  @AfterEach
  void stop() {
    loop.stop().join();
  }

  private HttpStatus send() throws Exception {
    HttpRequest req = HttpRequest.of(HttpMethod.GET, "/");
    ServiceRequestContext ctx = ServiceRequestContext.of(req);
    HttpResponse response =
        tracker.serve(
            (c, r) -> {
              served.incrementAndGet();
              return HttpResponse.of(HttpStatus.OK);
            },
            ctx,
            req);
    return response.aggregate().join().status();
  }

  @Test
  void requestsAfterRefuseNewRequestsAreNotServed() throws Exception {
    assertThat(send()).isEqualTo(HttpStatus.OK);
    tracker.refuseNewRequests();
    assertThat(send()).isEqualTo(HttpStatus.SERVICE_UNAVAILABLE);
    assertThat(served.get()).isEqualTo(1);
  }

  @Test
  void awaitIdleWaitsForRequestsInFlight() throws Exception {
    HttpRequest req = HttpRequest.of(HttpMethod.GET, "/");
    ServiceRequestContext ctx = ServiceRequestContext.of(req);
    HttpResponseWriter open = HttpResponse.streaming();
    tracker.serve((c, r) -> open, ctx, req);
    CompletableFuture<Void> idle = tracker.awaitIdle(loop, SystemClock.create(), LONG, () -> true);
    assertThat(tracker.inFlight()).isEqualTo(1);
    assertThat(idle.isDone()).isFalse();

    open.write(ResponseHeaders.of(HttpStatus.OK));
    open.close();
    ctx.logBuilder().endRequest();
    ctx.logBuilder().endResponse();
    idle.join();
    assertThat(tracker.inFlight()).isEqualTo(0);
  }

  @Test
  void awaitIdleEndsAtTimeLimit() throws Exception {
    HttpRequest req = HttpRequest.of(HttpMethod.GET, "/");
    tracker.serve((c, r) -> HttpResponse.streaming(), ServiceRequestContext.of(req), req);
    tracker.awaitIdle(loop, SystemClock.create(), Duration.ZERO, () -> true).join();
    assertThat(tracker.inFlight()).isEqualTo(1);
  }
}
