package org.carobhoist.core.placement;

import java.time.Duration;

/**
 * How items are placed.
 *
 * @param settleTime time that a new coordinator waits for what the runners hold
 * @param initialGap time between two events of a run at an engine of which nothing is known
 * @param memoryShare part of an engine's memory that the expected texts may fill
 * @param moveGain least time that moving a run to another engine must save
 * @param silence time without an event after which a run is taken off its engine
 * @param loadSilence the same while the engine loads weights
 * @param fullPause time without new runs for an engine that had no room
 * @param brokenPause time without new runs for an engine that broke a run off
 * @param listTime time after which the coordinator lists a result whose runner hasn't
 * @param scoreTime the same for a result that needs a reward call first; calls are repeated
 */
public record PlacementPolicy(
    Duration settleTime,
    Duration initialGap,
    double memoryShare,
    Duration moveGain,
    Duration silence,
    Duration loadSilence,
    Duration fullPause,
    Duration brokenPause,
    Duration listTime,
    Duration scoreTime) {

  /** The policy of every coordinator. */
  public static final PlacementPolicy DEFAULT =
      new PlacementPolicy(
          Duration.ofMillis(300),
          Duration.ofMillis(42),
          0.95,
          Duration.ofMillis(500),
          Duration.ofMillis(1_500),
          Duration.ofMillis(4_000),
          Duration.ofMillis(200),
          Duration.ofMillis(800),
          Duration.ofMillis(2_500),
          Duration.ofMillis(5_000));
}
