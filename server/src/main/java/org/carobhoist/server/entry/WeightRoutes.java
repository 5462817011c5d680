package org.carobhoist.server.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;
import org.carobhoist.core.common.RequestId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.Verdict;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.swap.WeightOrder;
import org.carobhoist.core.swap.WeightOrders;
import org.carobhoist.server.link.proto.LogRecord;
import org.carobhoist.server.logservice.PlatformLog;
import org.carobhoist.server.logservice.RecordListener;
import org.carobhoist.server.logservice.WeightOrderRecords;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * HTTP route on which a trainer announces new weights: {@code POST /v1/models/MODEL/weights}. An
 * order is accepted once it has been read back from the log; its log offset is its fencing token.
 * The same version may be announced again, so a trainer that lost the response repeats the request.
 */
final class WeightRoutes implements RecordListener {

  private static final Duration ACCEPT_TIMEOUT = Duration.ofSeconds(10);

  private final PlatformLog log;
  private final DecisionLoop loop;
  private final RequestBodies bodies;
  private final WeightOrders orders = WeightOrders.create();
  private final List<Waiter> waiters = new ArrayList<>();

  private record Waiter(
      ServiceName model, WeightVersion version, CompletableFuture<WeightOrder> accepted) {}

  private record OrderMessage(String model, long version, long fence) {}

  WeightRoutes(PlatformLog log, DecisionLoop loop, RequestBodies bodies) {
    this.log = log;
    this.loop = loop;
    this.bodies = bodies;
  }

  void addTo(ServerBuilder sb) {
    sb.service("/v1/models/{model}/weights", this::serve);
  }

  @Override
  public void onRecord(long offset, long timeMillis, LogRecord record) {
    WeightOrderRecords.decode(offset, record).ifPresent(orders::apply);
    for (Waiter w : List.copyOf(waiters)) {
      if (orders.version(w.model()).compareTo(w.version()) >= 0) {
        waiters.remove(w);
        w.accepted().complete(orders.order(w.model()).orElseThrow());
      }
    }
  }

  private HttpResponse serve(ServiceRequestContext ctx, HttpRequest req) {
    if (req.method() != HttpMethod.POST) {
      return HttpResponse.of(HttpStatus.METHOD_NOT_ALLOWED);
    }
    String model = ctx.pathParam("model");
    return bodies.respond(req, http -> handleOrder(model, http));
  }

  private CompletableFuture<HttpResponse> handleOrder(String name, AggregatedHttpRequest http) {
    ServiceName model;
    WeightVersion version;
    try {
      JsonNode body = StepJson.MAPPER.readTree(http.content().array());
      model = new ServiceName(name);
      version = new WeightVersion(body.path("version").asLong(-1));
    } catch (IOException | IllegalArgumentException e) {
      return refuse(Refusal.notRun(RefusalReason.BAD_REQUEST, String.valueOf(e.getMessage())));
    }
    WeightVersion newest = orders.version(model);
    if (version.compareTo(newest) < 0) {
      String detail = "version " + newest + " has been ordered already";
      return refuse(Refusal.notRun(RefusalReason.CONFLICT, detail));
    }
    return appendOrder(model, version)
        .thenApply(WeightRoutes::toResponse)
        .exceptionallyCompose(failure -> refuse(unconfirmed()));
  }

  private CompletableFuture<WeightOrder> appendOrder(ServiceName model, WeightVersion version) {
    CompletableFuture<WeightOrder> accepted = new CompletableFuture<>();
    if (orders.order(model).filter(o -> o.version().equals(version)).isPresent()) {
      accepted.complete(orders.order(model).orElseThrow());
      return accepted;
    }
    Waiter waiter = new Waiter(model, version, accepted);
    waiters.add(waiter);
    accepted.whenCompleteAsync(
        Callbacks.reported((order, failure) -> waiters.remove(waiter)), loop);
    log.append(WeightOrderRecords.encode(model, version))
        .whenCompleteAsync(
            Callbacks.reported((offset, failure) -> onAppendEnded(waiter, failure)), loop);
    return accepted.orTimeout(ACCEPT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Called when the append has ended; if it failed, the record may still have been written. */
  private void onAppendEnded(Waiter waiter, Throwable failure) {
    if (failure != null && waiters.remove(waiter)) {
      waiter.accepted().completeExceptionally(failure);
    }
  }

  private static Refusal unconfirmed() {
    return Refusal.mayHaveRun(
            RefusalReason.DEADLINE, "the log did not confirm the order; announce it again")
        .withRetryAfter(Duration.ofSeconds(1));
  }

  private static HttpResponse toResponse(WeightOrder order) {
    try {
      OrderMessage message =
          new OrderMessage(order.model().value(), order.version().number(), order.fence());
      ResponseHeaders headers =
          ResponseHeaders.builder(HttpStatus.OK)
              .contentType(MediaType.JSON)
              .set(CarobhoistHeaders.VERDICT, Verdict.COMPLETED.name())
              .build();
      return HttpResponse.of(headers, HttpData.wrap(StepJson.MAPPER.writeValueAsBytes(message)));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static CompletableFuture<HttpResponse> refuse(Refusal refusal) {
    RequestId id = new RequestId(UUID.randomUUID().toString());
    return CompletableFuture.completedFuture(Problems.response(id, refusal));
  }
}
