package org.carobhoist.core.placement;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.carobhoist.core.capacity.CapacityPolicy;
import org.carobhoist.core.capacity.ExpectedTimeOrder;

/**
 * Chooses the order in which items are placed, and an engine for each. It is designed for training
 * steps that have more items than the engines have slots, of which a few items are several times as
 * long as the others. A step completes with the last of the items that it requires. Older jobs are
 * therefore placed first, within a job the items with the longest expected duration, each at the
 * engine where it is expected to end first.
 */
final class Placer {

  private static final Comparator<ItemState> OLDER_JOB_FIRST =
      Comparator.comparing(s -> s.job().head().acceptedAt());

  /** Prefers the faster engine; if the speeds differ little, the one with more free slots. */
  private static final ExpectedTimeOrder ORDER =
      new ExpectedTimeOrder(CapacityPolicy.ENGINES.equalRatio());

  /**
   * Ratio to the typical engine above which an engine gets fewer runs than it has slots; with 1.5
   * an engine that was half as fast when full kept 7.5 of 8 runs in a simulation.
   */
  private static final double OVERLOAD_RATIO = 1.25;

  private final PlacementPolicy policy;

  Placer(PlacementPolicy policy) {
    this.policy = policy;
  }

  /** Returns the waiting items in the order in which they should be placed. */
  List<ItemState> order(Collection<ItemState> waiting, int tokensPerEvent) {
    Comparator<ItemState> longestFirst =
        Comparator.comparingInt((ItemState s) -> s.eventsLeft(tokensPerEvent)).reversed();
    return waiting.stream().sorted(OLDER_JOB_FIRST.thenComparing(longestFirst)).toList();
  }

  /**
   * Returns the best engine for an item; empty if no usable engine has room.
   *
   * @param usable whether an engine's weights and state allow the item
   */
  Optional<EngineLoad> chooseEngine(
      ItemState item, Collection<EngineLoad> engines, Predicate<EngineLoad> usable, Duration now) {
    EngineLoad best = null;
    double typicalNanos = 0;
    for (EngineLoad e : engines) {
      long tokens = item.expectedTokens(e.tokensPerEvent());
      if (e.freeSlots() <= 0 || !usable.test(e) || !e.hasRoom(tokens, policy.memoryShare(), now)) {
        continue;
      }
      if (e.expectedIntervalNanos(now) > e.initialIntervalNanos()) {
        typicalNanos = typicalNanos > 0 ? typicalNanos : typicalIntervalNanos(engines, now);
        if (isOverloaded(e, typicalNanos, now)) {
          continue;
        }
      }
      if (best == null || ORDER.isBetter(option(e, now), option(best, now))) {
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

  /**
   * Returns whether an engine is clearly slower than the typical one and has all runs that fit its
   * speed. An engine that is always full shows only one point of its speed, so the slots are
   * reduced in proportion as well.
   */
  private static boolean isOverloaded(EngineLoad e, double typicalNanos, Duration now) {
    double share = OVERLOAD_RATIO * typicalNanos / e.expectedIntervalNanos(now);
    return share < 1 && e.items().size() + 1 > e.runLimit(share, now);
  }

  private static ExpectedTimeOrder.Option option(EngineLoad e, Duration now) {
    return new ExpectedTimeOrder.Option(e.expectedIntervalNanos(now), -e.freeSlots());
  }

  /** Returns the median of all engines, so that none is avoided when all are slow. */
  private static double typicalIntervalNanos(Collection<EngineLoad> engines, Duration now) {
    double[] sorted =
        engines.stream().mapToDouble(e -> e.expectedIntervalNanos(now)).sorted().toArray();
    return sorted[sorted.length / 2];
  }
}
