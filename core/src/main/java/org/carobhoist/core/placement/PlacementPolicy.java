package org.carobhoist.core.placement;

import java.time.Duration;

/**
 * Timeouts and thresholds for the placement of items.
 *
 * @param settleTime time that a new coordinator waits for the runners to report their runs
 * @param initialInterval assumed time between two events of a run at an engine without a recent
 *     measurement
 * @param memoryShare fraction of an engine's memory that the expected texts may fill
 * @param minTimeSaved minimum time that moving a run to another engine must save
 * @param silenceTimeout time without an event after which a run is cancelled and placed again
 * @param loadingSilenceTimeout the same while the engine loads weights
 * @param refusalPause time without new runs for an engine that had no room or answered with an
 *     error
 * @param refusedItemPause time for which an item isn't offered to an engine again that an idle
 *     engine had no room for, so that other items get the engine first
 * @param maxRefusedItemPause the same for an item that is larger than the engine's memory; doubles
 *     from the time above up to this one. An item must not be at no engine for 5 s.
 * @param failurePause time without new runs for an engine whose run broke off, fell silent or was
 *     misplaced
 * @param publishTimeout time after which the coordinator publishes a result that its runner hasn't
 *     published
 * @param maxVersionWait time without a new event after which a waiting item whose text is bound to
 *     a version begins again, if that lets it run now and nothing else does
 * @param scoreTimeout the same for a result that needs a reward call first, which may be repeated
 */
public record PlacementPolicy(
    Duration settleTime,
    Duration initialInterval,
    double memoryShare,
    Duration minTimeSaved,
    Duration silenceTimeout,
    Duration loadingSilenceTimeout,
    Duration refusalPause,
    Duration refusedItemPause,
    Duration maxRefusedItemPause,
    Duration failurePause,
    Duration publishTimeout,
    Duration maxVersionWait,
    Duration scoreTimeout) {

  /** The policy that every coordinator uses. */
  public static final PlacementPolicy DEFAULT =
      new PlacementPolicy(
          Duration.ofMillis(300),
          Duration.ofMillis(42),
          0.95,
          Duration.ofMillis(500),
          Duration.ofMillis(1_500),
          Duration.ofMillis(4_000),
          Duration.ofMillis(200),
          Duration.ofMillis(400),
          Duration.ofMillis(3_000),
          Duration.ofMillis(800),
          Duration.ofMillis(2_500),
          Duration.ofMillis(2_000),
          Duration.ofMillis(5_000));
}
