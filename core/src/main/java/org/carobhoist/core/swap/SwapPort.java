package org.carobhoist.core.swap;

import java.util.Collection;
import org.carobhoist.core.common.InstanceId;

/**
 * The interface through which a {@link SwapCoordinator} calls its engine. Results of calls are
 * reported to the coordinator with the call's number.
 */
public interface SwapPort {

  /** Sends the engine a request to prefetch the weights of the order. */
  void prefetch(long call, WeightOrder order);

  /** Sends the engine a request to load the weights of the order. */
  void load(long call, WeightOrder order);

  /** Queries the version that the engine serves. */
  void readServed(long call);

  /** Requests one read of the log, to find out whether there is a newer order. */
  void readLog();

  /** Returns the engines of the model, according to the instance list. */
  Collection<InstanceId> peers();

  /** Announces the endpoint's version and whether it accepts new work. */
  void announce();
}
