package org.carobhoist.core.swap;

import java.util.Collection;
import org.carobhoist.core.common.InstanceId;

/** What a {@link SwapCoordinator} asks of its surroundings. Answers carry the call's number. */
public interface SwapPort {

  /** Orders the engine to fetch the weights of the order. */
  void prefetch(long call, WeightOrder order);

  /** Orders the engine to load the weights of the order. */
  void load(long call, WeightOrder order);

  /** Asks the engine what it serves. */
  void readServed(long call);

  /** Reads the log once, to learn whether there is a newer order. */
  void readLog();

  /** Returns the engines of the model that the instance list names. */
  Collection<InstanceId> peers();

  /** Announces the endpoint's version and whether it takes new work. */
  void announce();
}
