package org.carobhoist.core.request;

import java.util.Optional;
import java.util.Set;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Refusal;

/** What a {@link RequestRun} asks of its surroundings. */
public interface RequestPort {

  /** Chooses an endpoint that is not in the set, or returns empty if none is usable. */
  Optional<InstanceId> choose(Set<InstanceId> excluded);

  /**
   * Hands the start message to the link of the endpoint. The outcome comes back as events with this
   * attempt's number.
   */
  void send(InstanceId endpoint, int attempt);

  /** Tells the endpoint's sidecar that nobody waits for this attempt any more. */
  void cancel(InstanceId endpoint, int attempt);

  /** Passes the head of the answer on to the caller. */
  void passHead();

  /** Ends the answer to the caller. */
  void finish();

  /** Tells the caller why there is no answer; called at most once, and only before a head. */
  void refuse(Refusal refusal);

  /** Breaks off an answer of which the caller has a part. */
  void abort(Refusal refusal);
}
