package org.carobhoist.core.swap;

import java.time.Duration;

/** Decides when an engine may load the weights of an order. */
@FunctionalInterface
public interface LoadCondition {

  /**
   * Returns whether the engine may load now.
   *
   * @param sinceOrder time since the order came into force
   */
  boolean mayLoad(WeightOrder order, Duration sinceOrder);
}
