package org.carobhoist.core.swap;

import java.time.Duration;

/** Decides when an engine may load the weights of an order. */
@FunctionalInterface
public interface TurnRule {

  /**
   * Returns whether the engine may load now.
   *
   * @param since time since the order came into force
   */
  boolean isTurn(WeightOrder order, Duration since);
}
