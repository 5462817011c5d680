package org.carobhoist.core.rollout;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.TrainerId;

/**
 * Shares the engines among the steps of one entry. Trainers that have samples to start divide an
 * engine evenly, after what the others still have in flight there; within a trainer an older step
 * goes before a younger one. An engine gets a little more than it runs at once, so that it needn't
 * wait for an entry, and never a whole step.
 */
public final class EngineShares {

  private static final double QUEUE_AHEAD = 1.25;

  private final Map<StepKey, StepCoordinator> steps = new LinkedHashMap<>();

  private EngineShares() {}

  /** Returns the shares of an entry without steps. */
  public static EngineShares create() {
    return new EngineShares();
  }

  /** Takes a step in; it is the youngest of its trainer. */
  public void add(StepKey key, StepCoordinator step) {
    steps.put(key, step);
  }

  /** Takes a step out. */
  public void remove(StepKey key) {
    steps.remove(key);
  }

  /** Returns the windows of a step as things stand now. */
  public Windows windowsOf(StepKey key) {
    Set<TrainerId> hungry = new HashSet<>();
    steps.forEach((k, step) -> addIfHungry(hungry, k, step));
    hungry.add(key.trainer());
    List<StepCoordinator> sated = new ArrayList<>();
    List<StepCoordinator> older = new ArrayList<>();
    boolean before = true;
    for (Map.Entry<StepKey, StepCoordinator> e : steps.entrySet()) {
      before &= !e.getKey().equals(key);
      if (!hungry.contains(e.getKey().trainer())) {
        sated.add(e.getValue());
      } else if (before && e.getKey().trainer().equals(key.trainer())) {
        older.add(e.getValue());
      }
    }
    int trainers = hungry.size();
    return (engine, limit) -> {
      int room = (int) Math.ceil(limit * QUEUE_AHEAD) - inFlight(sated, engine);
      int share = (int) Math.ceil((double) Math.max(0, room) / trainers);
      return Math.max(0, share - inFlight(older, engine));
    };
  }

  /** Windows of one step. */
  @FunctionalInterface
  public interface Windows {

    /**
     * Returns the most attempts of the step that may be in flight at an engine.
     *
     * @param limit what the engine runs at once, at least 1
     */
    int at(InstanceId engine, int limit);
  }

  private static void addIfHungry(Set<TrainerId> hungry, StepKey key, StepCoordinator step) {
    if (step.isHungry()) {
      hungry.add(key.trainer());
    }
  }

  private static int inFlight(List<StepCoordinator> steps, InstanceId engine) {
    return steps.stream().mapToInt(s -> s.inFlightAt(engine)).sum();
  }
}
