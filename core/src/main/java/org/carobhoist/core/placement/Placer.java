package org.carobhoist.core.placement;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Chooses the order in which items are placed, and an engine for each. It is designed for training
 * steps that have more items than the engines have slots, of which a few items are several times as
 * long as the others. A step completes with the last of the items that it requires. Older jobs are
 * therefore placed first, except items that no engine has the memory for; within a job the items
 * with the longest expected duration, each at the engine where it is expected to end first.
 */
final class Placer {

  /** Items that engines refuse for their size get an engine that no other item can use. */
  private static final Comparator<ItemState> FITTING_FIRST =
      Comparator.comparing(ItemState::isRefusedForSize);

  private static final Comparator<ItemState> OLDER_JOB_FIRST =
      Comparator.comparing(s -> s.job().head().acceptedAt());

  private final PlacementPolicy policy;

  Placer(PlacementPolicy policy) {
    this.policy = policy;
  }

  /** Returns the waiting items in the order in which they should be placed. */
  List<ItemState> order(Collection<ItemState> waiting, int tokensPerEvent) {
    Comparator<ItemState> longestFirst =
        Comparator.comparingInt((ItemState s) -> s.eventsLeft(tokensPerEvent)).reversed();
    return waiting.stream()
        .sorted(FITTING_FIRST.thenComparing(OLDER_JOB_FIRST).thenComparing(longestFirst))
        .toList();
  }

  /**
   * Returns the best engine for an item; empty if no usable engine has room, or the item waits
   * after a refusal.
   *
   * @param usable whether an engine's weights and state allow the item
   */
  Optional<EngineLoad> chooseEngine(
      ItemState item, Collection<EngineLoad> engines, Predicate<EngineLoad> usable, Duration now) {
    if (item.isPaused(now)) {
      return Optional.empty();
    }
    EngineLoad best = null;
    for (EngineLoad e : engines) {
      long tokens = item.expectedTokens(e.tokensPerEvent());
      if (e.freeSlots() <= 0 || !usable.test(e) || !e.hasRoom(tokens, policy.memoryShare(), now)) {
        continue;
      }
      if (best == null || isBetter(e, best, now)) {
        best = e;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns an engine to which a running item should move; empty if no move saves enough time.
   *
   * @param usable whether an engine's weights and state allow the item
   */
  Optional<EngineLoad> betterEngine(
      ItemState item, Collection<EngineLoad> engines, Predicate<EngineLoad> usable, Duration now) {
    Optional<EngineLoad> other =
        chooseEngine(item, engines, e -> e != item.engine() && usable.test(e), now);
    return other.filter(e -> timeSaved(item, e, now).compareTo(policy.minTimeSaved()) > 0);
  }

  private Duration timeSaved(ItemState item, EngineLoad target, Duration now) {
    Duration savedPerEvent = item.engine().eventInterval(now).minus(target.eventInterval(now));
    return savedPerEvent.multipliedBy(item.eventsLeft(target.tokensPerEvent()));
  }

  /** Prefers the faster engine; if the speeds differ little, the one with more free slots. */
  private static boolean isBetter(EngineLoad a, EngineLoad b, Duration now) {
    double ratio = (double) a.eventInterval(now).toNanos() / b.eventInterval(now).toNanos();
    if (ratio < 0.93 || ratio > 1.07) {
      return ratio < 1;
    }
    return a.freeSlots() > b.freeSlots();
  }
}
