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
 * than the profile's idle weight allows; the one whose share is used least wins, where a slow
 * engine's share counts as smaller. With a low weight a sample rather waits for a fresh engine,
 * with a high one it takes any that is within the bound.
 */
final class EnginePicker {

  private static final double SMOOTHING = 0.1;

  private final RolloutPolicy policy;
  private final Map<InstanceId, Integer> inFlight = new HashMap<>();
  private final Map<InstanceId, Double> rates = new HashMap<>();
  private double topRate;

  EnginePicker(RolloutPolicy policy) {
    this.policy = policy;
  }

  void onStart(InstanceId engine) {
    inFlight.merge(engine, 1, Integer::sum);
  }

  void onEnd(InstanceId engine) {
    inFlight.computeIfPresent(engine, (key, n) -> n > 1 ? n - 1 : null);
  }

  /** Takes the tokens a second that an attempt had at an engine. */
  void onRate(InstanceId engine, double rate) {
    rates.merge(engine, rate, (old, now) -> old + SMOOTHING * (now - old));
    topRate = rates.values().stream().mapToDouble(r -> r).max().orElse(0);
  }

  int inFlightAt(InstanceId engine) {
    return inFlight.getOrDefault(engine, 0);
  }

  /**
   * Returns the engine to use, or empty if none has room.
   *
   * @param trainer the trainer's version now
   * @param prepare whether the sample is wanted only at the trainer's next version
   * @param patient whether there is time to wait for engines that serve the trainer's version
   * @param avoid an engine that is used only if no other has room
   */
  Optional<InstanceId> pick(
      List<EngineView> engines,
      WeightVersion trainer,
      boolean prepare,
      boolean patient,
      Optional<InstanceId> avoid) {
    long least = leastVersion(engines, trainer, prepare, patient);
    EngineView best = null;
    EngineView last = null;
    for (EngineView e : engines) {
      if (version(e, trainer) < least || isFull(e)) {
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

  private long leastVersion(
      List<EngineView> engines, WeightVersion trainer, boolean prepare, boolean patient) {
    long wantedAt = prepare ? trainer.number() + 1 : trainer.number();
    long byBound = wantedAt - policy.maxStaleness();
    if (patient) {
      return Math.max(byBound, trainer.number());
    }
    long freshest =
        engines.stream()
            .mapToLong(e -> Math.min(version(e, trainer), trainer.number()))
            .max()
            .orElse(0);
    return Math.max(byBound, freshest - policy.engineSlack());
  }

  /** An engine of unknown version counts as fresh; its stream will tell. */
  private static long version(EngineView e, WeightVersion trainer) {
    return e.version().number() == 0 ? trainer.number() : e.version().number();
  }

  private boolean isFull(EngineView e) {
    return inFlightAt(e.instance()) >= e.window();
  }

  /** The share in use after one more start; on a slow engine each attempt counts for more. */
  private double load(EngineView e) {
    double rate = rates.getOrDefault(e.instance(), topRate);
    double slowness = rate <= 0 ? 1 : Math.max(1, topRate / rate);
    return slowness * (inFlightAt(e.instance()) + 1) / e.window();
  }
}
