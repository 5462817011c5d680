package org.carobhoist.server.gateway.coordination;

import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.util.Exceptions;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.swap.SwapState;
import org.carobhoist.platform.CallHeaders;
import org.carobhoist.platform.EngineOrders;
import org.carobhoist.server.gateway.upstream.UpstreamClients;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/**
 * Sends load orders to one incarnation of an engine. Each order carries the number of orders that
 * the engine has accepted, so that an order that arrives late has no effect. The swaps of all
 * models of the engine share that counter.
 */
public final class EngineClient {

  private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

  /** Receives the outcome of an order. */
  @FunctionalInterface
  interface OrderCallback {

    /**
     * Called when the engine has answered, or its answer is no longer awaited.
     *
     * @param mayArriveLater whether the order may still arrive at the engine
     */
    void onOrderEnded(EngineOrders.Answer answer, boolean mayArriveLater);
  }

  private final InstanceId id;
  private final String address;
  private final long startedAtMillis;
  private final UpstreamClients upstreams;
  private final Executor loop;
  private final Consumer<InstanceId> leavingListener;
  private final Map<String, EngineSwap> swaps = new LinkedHashMap<>();
  private OptionalLong acceptedOrders = OptionalLong.empty();

  /**
   * Creates a client without swaps.
   *
   * @param startedAtMillis when the engine started
   * @param leavingListener called when the engine has reported that it is shutting down
   */
  public EngineClient(
      InstanceId id,
      String address,
      long startedAtMillis,
      UpstreamClients upstreams,
      Executor loop,
      Consumer<InstanceId> leavingListener) {
    this.id = id;
    this.address = address;
    this.startedAtMillis = startedAtMillis;
    this.upstreams = upstreams;
    this.loop = loop;
    this.leavingListener = leavingListener;
  }

  InstanceId id() {
    return id;
  }

  /** Returns whether this is the incarnation at the address with the given start time. */
  boolean isIncarnation(String otherAddress, long otherStartedAtMillis) {
    return address.equals(otherAddress) && startedAtMillis == otherStartedAtMillis;
  }

  /** Returns the swaps by model. */
  Map<String, EngineSwap> swaps() {
    return swaps;
  }

  /** Returns whether the engine is loading weights of any model. */
  boolean isLoading() {
    return swaps.values().stream().anyMatch(s -> s.state() == SwapState.LOADING);
  }

  /** Returns whether the engine is loading weights of a model. */
  boolean isLoading(String model) {
    EngineSwap swap = swaps.get(model);
    return swap != null && swap.state() == SwapState.LOADING;
  }

  /** Returns how many orders the engine has accepted; empty before its first report. */
  OptionalLong acceptedOrders() {
    return acceptedOrders;
  }

  /** Requests the engine's report on a model; passes an empty value to the callback on failure. */
  public void requestReport(String model, Consumer<Optional<EngineOrders.Report>> callback) {
    aggregate(upstreams.sendOnNewConnection(address, EngineOrders.reportRequest(id), CALL_TIMEOUT))
        .thenApply(reply -> EngineOrders.report(reply.content().array(), model))
        .whenCompleteAsync(
            Callbacks.reported(
                (report, failure) -> {
                  if (failure == null) {
                    acceptedOrders = OptionalLong.of(report.orderCount());
                  } else {
                    EventLog.warn(
                        LogEvent.ENGINE_REPORT_FAILED, "engine", id, "why", failure.toString());
                  }
                  callback.accept(Optional.ofNullable(report));
                }),
            loop);
  }

  /**
   * Orders the engine to load a version.
   *
   * @param callback called once, with the outcome
   * @throws java.util.NoSuchElementException if no report has been received yet
   */
  void orderLoad(
      String model, WeightVersion version, InstanceId holder, long fence, OrderCallback callback) {
    long expected = acceptedOrders.orElseThrow();
    HttpRequest request =
        EngineOrders.loadRequest(
            id, model, version, EngineOrders.Mode.RETAIN, holder, fence, expected);
    CompletableFuture.completedFuture(request)
        .thenCompose(r -> aggregate(upstreams.sendOnNewConnection(address, r, CALL_TIMEOUT)))
        .whenCompleteAsync(
            Callbacks.reported(
                (reply, failure) -> {
                  int status = failure == null ? reply.status().code() : 0;
                  EngineOrders.Answer answer = EngineOrders.answer(status);
                  if (answer == EngineOrders.Answer.TAKEN) {
                    acceptedOrders = OptionalLong.of(expected + 1);
                  } else if (answer != EngineOrders.Answer.HOLDS) {
                    EventLog.warn(
                        LogEvent.ENGINE_ORDER_FAILED,
                        "engine",
                        id,
                        "model",
                        model,
                        "status",
                        status,
                        "fence",
                        fence,
                        "orders",
                        expected);
                  }
                  callback.onOrderEnded(answer, failure != null && !wasNotSent(failure));
                }),
            loop);
  }

  /** Returns whether a failure shows that no byte of the request was sent. */
  private static boolean wasNotSent(Throwable failure) {
    return Exceptions.peel(failure) instanceof UnprocessedRequestException;
  }

  private CompletableFuture<AggregatedHttpResponse> aggregate(HttpResponse response) {
    return response
        .aggregate()
        .thenApplyAsync(
            reply -> {
              if (CallHeaders.isLeaving(reply.headers())) {
                leavingListener.accept(id);
              }
              return reply;
            },
            loop);
  }
}
