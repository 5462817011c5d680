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
 * Divides the capacity of the engines among the steps of one entry, that is, one of the processes
 * that serve the trainers' requests. The attempts in flight of trainers that currently have no
 * samples to start are subtracted first; the trainers that have samples to start share the rest
 * evenly. Within a trainer, older steps have precedence over newer ones. An engine is given
 * slightly more attempts than it runs at once, so that it doesn't idle while it waits for the
 * entry, but never a complete step at once.
 */
public final class EngineShares {

  private static final double QUEUE_AHEAD_FACTOR = 1.25;

  private final Map<StepKey, StepCoordinator> steps = new LinkedHashMap<>();

  private EngineShares() {}

  /** Creates the shares of an entry that has no steps yet. */
  public static EngineShares create() {
    return new EngineShares();
  }

  /** Adds a step, as the newest of its trainer. */
  public void add(StepKey key, StepCoordinator step) {
    steps.put(key, step);
  }

  /** Removes a step. */
  public void remove(StepKey key) {
    steps.remove(key);
  }

  /** Returns the current windows of a step. */
  public Windows windowsOf(StepKey key) {
    Set<TrainerId> trainersWithWork = new HashSet<>();
    steps.forEach((k, step) -> addIfWork(trainersWithWork, k, step));
    trainersWithWork.add(key.trainer());
    List<StepCoordinator> stepsWithoutWork = new ArrayList<>();
    List<StepCoordinator> olderSteps = new ArrayList<>();
    boolean isOlder = true;
    for (Map.Entry<StepKey, StepCoordinator> e : steps.entrySet()) {
      isOlder &= !e.getKey().equals(key);
      if (!trainersWithWork.contains(e.getKey().trainer())) {
        stepsWithoutWork.add(e.getValue());
      } else if (isOlder && e.getKey().trainer().equals(key.trainer())) {
        olderSteps.add(e.getValue());
      }
    }
    int trainers = trainersWithWork.size();
    return (engine, limit) -> {
      int capacity =
          (int) Math.ceil(limit * QUEUE_AHEAD_FACTOR) - inFlight(stepsWithoutWork, engine);
      int share = (int) Math.ceil((double) Math.max(0, capacity) / trainers);
      return Math.max(0, share - inFlight(olderSteps, engine));
    };
  }

  /** The limits on the attempts of one step in flight at each engine. */
  @FunctionalInterface
  public interface Windows {

    /**
     * Returns the maximum number of attempts of the step in flight at an engine.
     *
     * @param limit number of attempts that the engine runs concurrently, at least 1
     */
    int at(InstanceId engine, int limit);
  }

  private static void addIfWork(
      Set<TrainerId> trainersWithWork, StepKey key, StepCoordinator step) {
    if (step.hasSamplesToStart()) {
      trainersWithWork.add(key.trainer());
    }
  }

  private static int inFlight(List<StepCoordinator> steps, InstanceId engine) {
    return steps.stream().mapToInt(s -> s.inFlightAt(engine)).sum();
  }
}
