package org.carobhoist.core.placement;

import java.time.Duration;

/**
 * Decides what a refusal delays. An engine rejects a request that is larger than its memory as if
 * it were full. A pause of the engine for such a refusal would delay the other items, and the
 * refused one, which may be of an older job, would take the engine again at the end of the pause.
 * It therefore waits by itself, longer each time. Any other refusal pauses the engine; if it had no
 * other run, the refused item waits a little longer than the engine.
 */
final class Refusals {

  /** Number of doublings after which the wait is at its maximum in any case. */
  private static final int MAX_DOUBLINGS = 10;

  private final PlacementPolicy policy;

  Refusals(PlacementPolicy policy) {
    this.policy = policy;
  }

  /** Called when an engine has refused an item without running it; its run is still counted. */
  void onNotRun(ItemState item, EngineLoad engine, Duration now) {
    if (engine.isExceededBy(item.item())) {
      item.pause(now.plus(sizePause(item.countSizeRefusal())));
      return;
    }
    engine.pause(now.plus(policy.refusalPause()));
    if (engine.items().size() == 1) {
      item.pause(now.plus(policy.refusedItemPause()));
    }
  }

  private Duration sizePause(int refusals) {
    int doublings = Math.min(refusals - 1, MAX_DOUBLINGS);
    Duration pause = policy.refusedItemPause().multipliedBy(1L << doublings);
    Duration max = policy.maxRefusedItemPause();
    return pause.compareTo(max) < 0 ? pause : max;
  }
}
