package org.carobhoist.server.sidecar;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.membership.ListedInstance;
import org.carobhoist.core.swap.SwapCoordinator;
import org.carobhoist.core.swap.SwapEvent;
import org.carobhoist.core.swap.SwapPolicy;
import org.carobhoist.core.swap.SwapPort;
import org.carobhoist.core.swap.WeightOrder;
import org.carobhoist.core.swap.WeightOrders;
import org.carobhoist.server.link.proto.LogRecord;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.logservice.InstanceList;
import org.carobhoist.server.logservice.LogBatch;
import org.carobhoist.server.logservice.PlatformLog;
import org.carobhoist.server.logservice.RecordListener;
import org.carobhoist.server.logservice.WeightOrderRecords;
import org.carobhoist.server.runtime.DecisionLoop;
import org.carobhoist.server.state.StateSource;

/**
 * Sends weight orders to the engine and reads back which version it serves. Used on the decision
 * loop only.
 */
final class SwapWorker implements SwapPort, RecordListener, StateSource {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final byte[] NO_CONTENT = {};

  private final ServiceName model;
  private final EndpointClient engine;
  private final InstanceList instanceList;
  private final PlatformLog log;
  private final DecisionLoop loop;
  private final Clock clock;
  private final Runnable announce;
  private final WeightOrders orders = WeightOrders.create();
  private final SwapCoordinator coordinator;
  private List<InstanceId> peers = List.of();

  /** State dump of the engine's weights. */
  public record State(String swap, long served, long ordered, long fence, boolean inRotation) {}

  private record OrderMessage(String op, String model, long version, long fence) {}

  /**
   * Creates a worker that hasn't started.
   *
   * @param announce announces the served version and whether the engine accepts new work
   */
  SwapWorker(
      InstanceId self,
      ServiceName model,
      EndpointClient engine,
      InstanceList instanceList,
      PlatformLog log,
      DecisionLoop loop,
      Clock clock,
      Runnable announce) {
    this.model = model;
    this.engine = engine;
    this.instanceList = instanceList;
    this.log = log;
    this.loop = loop;
    this.clock = clock;
    this.announce = announce;
    this.coordinator = SwapCoordinator.create(self, this, SwapPolicy.DEFAULT, clock);
  }

  /** Starts by reading the version that the engine serves. */
  void start() {
    coordinator.start();
  }

  /** Advances the coordinator's timers; must be called several times a second. */
  void tick() {
    coordinator.tick();
  }

  /** Returns the served version that was last read from the engine; 0 if none. */
  WeightVersion served() {
    return coordinator.served().orElse(new WeightVersion(0));
  }

  /** Returns whether the engine accepts new work. */
  boolean isInRotation() {
    return coordinator.isInRotation();
  }

  @Override
  public void onRecord(long offset, long timeMillis, LogRecord record) {
    WeightOrderRecords.decode(offset, record).ifPresent(this::applyOrder);
  }

  @Override
  public void prefetch(long call, WeightOrder order) {
    sendOrder(call, "prefetch", order);
  }

  @Override
  public void load(long call, WeightOrder order) {
    sendOrder(call, "load", order);
  }

  @Override
  public void readServed(long call) {
    engine
        .call(RequestHeaders.of(HttpMethod.GET, "/served"), NO_CONTENT, Duration.ZERO)
        .whenCompleteAsync(
            Callbacks.reported((response, failure) -> onServed(call, response, failure)), loop);
  }

  @Override
  public void readLog() {
    long from = orders.order(model).map(WeightOrder::fence).orElse(0L) + 1;
    readLogFrom(from, clock.elapsed());
  }

  @Override
  public Collection<InstanceId> peers() {
    return peers;
  }

  @Override
  public void announce() {
    announce.run();
  }

  @Override
  public String name() {
    return "weights";
  }

  @Override
  public Object state() {
    Optional<WeightOrder> order = coordinator.order();
    return new State(
        coordinator.state().name(),
        served().number(),
        order.map(o -> o.version().number()).orElse(0L),
        order.map(WeightOrder::fence).orElse(0L),
        isInRotation());
  }

  private void applyOrder(WeightOrder order) {
    if (order.model().equals(model) && orders.apply(order)) {
      startSwap(order);
    }
  }

  /**
   * Starts a swap. Reads the engines of the model from the instance list first; without them the
   * coordinator couldn't prevent all engines from loading at once.
   */
  private void startSwap(WeightOrder order) {
    EventLog.info(
        LogEvent.SWAP, "model", model, "version", order.version(), "fence", order.fence());
    instanceList
        .read()
        .whenCompleteAsync(
            Callbacks.reported(
                (listed, failure) -> {
                  if (failure == null) {
                    peers =
                        listed.stream().filter(this::isPeer).map(ListedInstance::instance).toList();
                  }
                  coordinator.onOrder(order);
                }),
            loop);
  }

  private boolean isPeer(ListedInstance i) {
    return i.service().equals(model.value());
  }

  private void sendOrder(long call, String op, WeightOrder order) {
    RequestHeaders headers =
        RequestHeaders.of(HttpMethod.POST, "/orders", "content-type", MediaType.JSON.toString());
    engine
        .call(headers, body(op, order), Duration.ZERO)
        .whenCompleteAsync(
            Callbacks.reported(
                (response, failure) -> coordinator.onCallEnded(call, outcome(response, failure))),
            loop);
  }

  private static byte[] body(String op, WeightOrder order) {
    try {
      return JSON.writeValueAsBytes(
          new OrderMessage(op, order.model().value(), order.version().number(), order.fence()));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private static SwapEvent outcome(AggregatedHttpResponse response, Throwable failure) {
    if (failure != null) {
      return SwapEvent.FAILED;
    }
    if (response.status().equals(HttpStatus.CONFLICT)) {
      return SwapEvent.REFUSED;
    }
    return response.status().equals(HttpStatus.OK) ? SwapEvent.DONE : SwapEvent.FAILED;
  }

  private void onServed(long call, AggregatedHttpResponse response, Throwable failure) {
    if (failure != null || !response.status().equals(HttpStatus.OK)) {
      coordinator.onCallEnded(call, SwapEvent.FAILED);
      return;
    }
    try {
      JsonNode version = JSON.readTree(response.content().array()).path("version");
      boolean valid = version.isIntegralNumber() && version.asLong() >= 0;
      coordinator.onServed(
          call, valid ? Optional.of(new WeightVersion(version.asLong())) : Optional.empty());
    } catch (IOException e) {
      coordinator.onCallEnded(call, SwapEvent.FAILED);
    }
  }

  private void readLogFrom(long from, Duration sentAt) {
    log.read(from, Duration.ZERO)
        .whenCompleteAsync(
            Callbacks.reported((batch, failure) -> onLog(batch, failure, sentAt)), loop);
  }

  private void onLog(LogBatch batch, Throwable failure, Duration sentAt) {
    if (failure != null) {
      return;
    }
    long next = batch.next();
    for (LogBatch.StoredRecord r : batch.records()) {
      WeightOrderRecords.decode(r).ifPresent(this::applyOrder);
      next = r.offset() + 1;
    }
    if (next < batch.next()) {
      readLogFrom(next, sentAt);
      return;
    }
    coordinator.onLogRead(sentAt);
  }
}
