package org.carobhoist.server.gateway.capacity;

import java.time.Duration;
import java.util.Optional;
import org.carobhoist.core.capacity.CapacityTable;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.membership.EndpointDirectory;
import org.carobhoist.core.routing.EndpointView;

/** Measures one attempt at an endpoint, from its start to the answer or failure. */
public final class AttemptMeasurement {

  private static final int SERVER_ERROR = 500;

  private final CapacityTable capacities;
  private final Clock clock;
  private final InstanceId endpoint;
  private final Optional<EndpointView> view;
  private final Duration sentAt;
  private boolean answered;
  private boolean failed;

  /** Begins a measurement; the directory already counts the attempt as in progress. */
  public AttemptMeasurement(
      CapacityTable capacities, EndpointDirectory directory, Clock clock, InstanceId endpoint) {
    this.capacities = capacities;
    this.clock = clock;
    this.endpoint = endpoint;
    this.view = directory.viewOf(endpoint);
    this.sentAt = clock.elapsed();
  }

  /** Called with the first event of a stream, or the end of another answer; counts once. */
  public void onAnswered(int status) {
    if (status >= SERVER_ERROR) {
      onFailed();
    } else if (!answered) {
      answered = true;
      Duration latency = clock.elapsed().minus(sentAt);
      view.ifPresent(
          v ->
              capacities.onLatency(
                  endpoint, v.ownInFlight(), v.reportedInFlight(), v.limit(), latency));
    }
  }

  /** Called when the attempt failed; a refusal because of overload is no failure. */
  public void onFailed() {
    if (!failed) {
      failed = true;
      view.ifPresent(v -> capacities.onFailure(endpoint, v.limit()));
    }
  }
}
