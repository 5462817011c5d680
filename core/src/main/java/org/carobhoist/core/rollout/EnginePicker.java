package org.carobhoist.core.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;

/**
 * Chooses the engine for an attempt. Engines whose weight version is beyond the staleness bound are
 * never chosen, and neither are engines further behind the freshest one than the profile's idle
 * weight allows. Among the remaining engines the one with the lowest utilization wins; each attempt
 * on a slow engine counts as more utilization. With a low idle weight a sample waits for a fresh
 * engine, with a high one it runs on any engine within the staleness bound.
 */
final class EnginePicker {

  private static final double SMOOTHING = 0.1;

  private final RolloutPolicy policy;
  private final Map<InstanceId, Integer> inFlight = new HashMap<>();
  private final Map<InstanceId, Double> rates = new HashMap<>();
  private double maxRate;

  EnginePicker(RolloutPolicy policy) {
    this.policy = policy;
  }

  /** Called when an attempt is assigned to an engine. */
  void onStart(InstanceId engine) {
    inFlight.merge(engine, 1, Integer::sum);
  }

  /** Called when an attempt on an engine is no longer in flight. */
  void onEnd(InstanceId engine) {
    inFlight.computeIfPresent(engine, (key, n) -> n > 1 ? n - 1 : null);
  }

  /** Called when an attempt has ended, with its rate in tokens per second on the engine. */
  void onRate(InstanceId engine, double rate) {
    rates.merge(engine, rate, (old, now) -> old + SMOOTHING * (now - old));
    maxRate = rates.values().stream().mapToDouble(r -> r).max().orElse(0);
  }

  int inFlightAt(InstanceId engine) {
    return inFlight.getOrDefault(engine, 0);
  }

  /**
   * Returns the engine to use, or empty if no suitable engine has capacity.
   *
   * @param trainer the trainer's current weight version
   * @param prepare whether the sample is generated ahead, for the trainer's next version
   * @param canWait whether there is still time to wait for engines that serve the trainer's version
   * @param avoid an engine that is used only if no other one has capacity
   */
  Optional<InstanceId> pick(
      List<EngineView> engines,
      WeightVersion trainer,
      boolean prepare,
      boolean canWait,
      Optional<InstanceId> avoid) {
    long minVersion = minVersion(engines, trainer, prepare, canWait);
    EngineView best = null;
    EngineView fallback = null;
    for (EngineView e : engines) {
      if (version(e, trainer) < minVersion || isFull(e)) {
        continue;
      }
      if (avoid.isPresent() && avoid.get().equals(e.instance())) {
        fallback = e;
      } else if (best == null || load(e) < load(best)) {
        best = e;
      }
    }
    return Optional.ofNullable(best == null ? fallback : best).map(EngineView::instance);
  }

  private long minVersion(
      List<EngineView> engines, WeightVersion trainer, boolean prepare, boolean canWait) {
    long deliveryVersion = prepare ? trainer.number() + 1 : trainer.number();
    long boundVersion = deliveryVersion - policy.maxStaleness();
    if (canWait) {
      return Math.max(boundVersion, trainer.number());
    }
    long freshest =
        engines.stream()
            .mapToLong(e -> Math.min(version(e, trainer), trainer.number()))
            .max()
            .orElse(0);
    return Math.max(boundVersion, freshest - policy.maxEngineLag());
  }

  /** An engine of unknown version is treated as fresh; its stream names the actual version. */
  private static long version(EngineView e, WeightVersion trainer) {
    return e.version().number() == 0 ? trainer.number() : e.version().number();
  }

  private boolean isFull(EngineView e) {
    return inFlightAt(e.instance()) >= e.window();
  }

  /** Returns the utilization after one more start; on a slow engine each attempt counts more. */
  private double load(EngineView e) {
    double rate = rates.getOrDefault(e.instance(), maxRate);
    double slowness = rate <= 0 ? 1 : Math.max(1, maxRate / rate);
    return slowness * (inFlightAt(e.instance()) + 1) / e.window();
  }
}
