package org.carobhoist.core.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;

/**
 * Chooses the engine for an attempt. Engines that could only make tokens beyond the staleness bound
 * are out of the question. Of the others those count that lie no further behind the freshest one
 * than the profile's idle weight allows; the one whose share is used least wins. With a low weight
 * a sample rather waits for a fresh engine, with a high one it takes any that is within the bound.
 */
final class EnginePicker {

  private final RolloutPolicy policy;
  private final Map<InstanceId, Integer> inFlight = new HashMap<>();

  EnginePicker(RolloutPolicy policy) {
    this.policy = policy;
  }

  void onStart(InstanceId engine) {
    inFlight.merge(engine, 1, Integer::sum);
  }

  void onEnd(InstanceId engine) {
    inFlight.computeIfPresent(engine, (key, n) -> n > 1 ? n - 1 : null);
  }

  int inFlightAt(InstanceId engine) {
    return inFlight.getOrDefault(engine, 0);
  }

  /** Returns the engine to use, or empty if none has room; {@code avoid} only if it is alone. */
  Optional<InstanceId> pick(
      List<EngineView> engines, WeightVersion trainer, Optional<InstanceId> avoid) {
    long freshest =
        engines.stream()
            .mapToLong(e -> Math.min(version(e, trainer), trainer.number()))
            .max()
            .orElse(0);
    long least =
        Math.max(freshest - policy.engineSlack(), trainer.number() - policy.maxStaleness());
    EngineView best = null;
    EngineView last = null;
    for (EngineView e : engines) {
      if (version(e, trainer) < least || load(e) >= 1) {
        continue;
      }
      if (avoid.isPresent() && avoid.get().equals(e.instance())) {
        last = e;
      } else if (best == null || load(e) < load(best)) {
        best = e;
      }
    }
    return Optional.ofNullable(best == null ? last : best).map(EngineView::instance);
  }

  /** An engine of unknown version counts as fresh; its stream will tell. */
  private static long version(EngineView e, WeightVersion trainer) {
    return e.version().number() == 0 ? trainer.number() : e.version().number();
  }

  private double load(EngineView e) {
    return e.window() < 1 ? 1 : (double) inFlightAt(e.instance()) / e.window();
  }
}
