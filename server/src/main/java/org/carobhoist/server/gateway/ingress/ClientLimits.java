package org.carobhoist.server.gateway.ingress;

import com.linecorp.armeria.server.ServerBuilder;
import io.netty.channel.ChannelPipeline;
import java.time.Duration;
import java.util.Locale;
import java.util.function.Consumer;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.limit.BodyAdmission;
import org.carobhoist.core.limit.BodyPolicy;
import org.carobhoist.core.limit.BodyRefusal;
import org.carobhoist.core.limit.BufferBudget;
import org.carobhoist.core.manifest.ManifestHolder;
import org.carobhoist.server.metrics.Metric;
import org.carobhoist.server.metrics.ProcessMetrics;
import org.carobhoist.server.runtime.ClientConnections;
import org.carobhoist.server.runtime.ConnectionRefusal;
import org.carobhoist.server.runtime.DecisionLoop;
import org.carobhoist.server.runtime.RequestBodyReader;
import org.carobhoist.server.runtime.RequestMemory;

/** The limits of a process on what clients make it hold. */
public final class ClientLimits {

  /** Period of {@link BodyAdmission#tick}, a quarter of the time after which a body stalls. */
  private static final Duration TICK = Duration.ofMillis(250);

  /** Time for a head while no manifest is known; the usual value of manifests. */
  private static final Duration HEAD_TIMEOUT = Duration.ofSeconds(3);

  /** Requests in progress on an HTTP/2 connection. */
  private static final int MAX_STREAMS = 256;

  /** What a paused HTTP/2 request may hold, at most what is counted for a body at its start. */
  private static final int STREAM_WINDOW_BYTES = 128 << 10;

  private static final int CONNECTION_WINDOW_BYTES = 256 << 10;

  private final DecisionLoop loop;
  private final BufferBudget budget = BufferBudget.create(RequestMemory.budgetBytes());
  private final BodyAdmission admission;
  private final RequestBodyReader bodies;

  private final ClientConnections connections;

  private ClientLimits(DecisionLoop loop, Clock clock, ManifestHolder manifests) {
    this.loop = loop;
    this.admission = BodyAdmission.create(budget, BodyPolicy.DEFAULT, clock);
    this.bodies = new RequestBodyReader(loop, admission);
    this.connections =
        new ClientConnections(
            clock,
            budget,
            () -> manifests.current().map(m -> m.limits().headerTimeout()).orElse(HEAD_TIMEOUT));
  }

  /** Returns the limits of a process. */
  public static ClientLimits create(DecisionLoop loop, Clock clock, ManifestHolder manifests) {
    return new ClientLimits(loop, clock, manifests);
  }

  /** Applies the limits of connections to a server that runs on the loop's thread. */
  public ServerBuilder applyTo(ServerBuilder builder) {
    return applyTo(builder, pipeline -> {});
  }

  /**
   * Applies the limits of connections to a server that runs on the loop's thread.
   *
   * @param customizer adds further handlers to a new connection; the builder accepts only one
   */
  public ServerBuilder applyTo(ServerBuilder builder, Consumer<ChannelPipeline> customizer) {
    Consumer<ChannelPipeline> limits = connections::addTo;
    return builder
        .childChannelPipelineCustomizer(limits.andThen(customizer)::accept)
        .http2MaxStreamsPerConnection(MAX_STREAMS)
        .http2InitialStreamWindowSize(STREAM_WINDOW_BYTES)
        .http2InitialConnectionWindowSize(CONNECTION_WINDOW_BYTES);
  }

  /** Starts the periodic checks and adds the gauges. */
  public void start(ProcessMetrics metrics) {
    loop.every(
        TICK,
        () -> {
          admission.tick();
          connections.checkWrites();
        });
    metrics.gauge(Metric.CONNECTIONS, connections::size);
    for (ConnectionRefusal cause : ConnectionRefusal.values()) {
      String name = cause.name().toLowerCase(Locale.ROOT);
      metrics.gauge(Metric.CONNECTION_REFUSALS, "cause", name, () -> connections.refusals(cause));
    }
    metrics.gauge(Metric.HELD_BYTES, budget::heldBytes);
    metrics.gauge(Metric.BODY_PAUSES, admission::pauses);
    for (BodyRefusal cause : BodyRefusal.values()) {
      String name = cause.name().toLowerCase(Locale.ROOT);
      metrics.gauge(Metric.BODY_REFUSALS, "cause", name, () -> admission.refusals(cause));
    }
  }

  /** Returns the budget of all bytes held for requests and responses. */
  public BufferBudget budget() {
    return budget;
  }

  /** Returns the reader of request bodies. */
  public RequestBodyReader bodies() {
    return bodies;
  }
}
