package org.carobhoist.core.request;

import java.util.Optional;
import java.util.Set;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Refusal;

/** Operations through which a {@link RequestStateMachine} reaches endpoints and the caller. */
public interface RequestPort {

  /** Selects an endpoint that is not in the set; returns empty if none is usable. */
  Optional<InstanceId> choose(Set<InstanceId> excluded);

  /**
   * Sends the start message of an attempt to the endpoint. The outcome is reported back as events
   * with this attempt number.
   */
  void send(InstanceId endpoint, int attempt);

  /** Tells the endpoint's sidecar that the caller no longer waits for this attempt. */
  void cancel(InstanceId endpoint, int attempt);

  /** Forwards the head of the response to the caller. */
  void passHead();

  /** Completes the response to the caller. */
  void finish();

  /** Refuses the caller's request; called at most once, and only before {@link #passHead}. */
  void refuse(Refusal refusal);

  /** Aborts a response that the caller has received in part. */
  void abort(Refusal refusal);
}
