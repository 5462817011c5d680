package org.carobhoist.server.gateway.ingress;

import java.time.Duration;
import java.util.Locale;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.limit.BodyAdmission;
import org.carobhoist.core.limit.BodyPolicy;
import org.carobhoist.core.limit.BodyRefusal;
import org.carobhoist.core.limit.BufferBudget;
import org.carobhoist.server.metrics.Metric;
import org.carobhoist.server.metrics.ProcessMetrics;
import org.carobhoist.server.runtime.DecisionLoop;
import org.carobhoist.server.runtime.RequestBodyReader;
import org.carobhoist.server.runtime.RequestMemory;

/** The limits of a process on what clients make it hold. */
public final class ClientLimits {

  /** Period of {@link BodyAdmission#tick}, a quarter of the time after which a body stalls. */
  private static final Duration TICK = Duration.ofMillis(250);

  private final DecisionLoop loop;
  private final BufferBudget budget = BufferBudget.create(RequestMemory.budgetBytes());
  private final BodyAdmission admission;
  private final RequestBodyReader bodies;

  private ClientLimits(DecisionLoop loop, Clock clock) {
    this.loop = loop;
    this.admission = BodyAdmission.create(budget, BodyPolicy.DEFAULT, clock);
    this.bodies = new RequestBodyReader(loop, admission);
  }

  /** Returns the limits of a process. */
  public static ClientLimits create(DecisionLoop loop, Clock clock) {
    return new ClientLimits(loop, clock);
  }

  /** Starts the periodic checks and adds the gauges. */
  public void start(ProcessMetrics metrics) {
    loop.every(TICK, admission::tick);
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
