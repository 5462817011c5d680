package org.carobhoist.core.swap;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;

/**
 * Assigns models to engines. Several trainers share the engines of a service, and each of them
 * publishes a new weight version every few seconds. The more models an engine follows, the more
 * slots a step has at its start, but each new version of a followed model costs a load. So each
 * engine follows only a few models, and all models have about the same number of engines. If there
 * are too few engines for that, every engine follows every model.
 *
 * <p>Engines keep their models as long as the numbers of engines per model differ by at most one. A
 * new coordinator, which doesn't know the previous assignment, assigns to each engine the models
 * whose newest versions the engine lags behind least.
 */
public final class ModelAssignment {

  /**
   * Minimum number of engines for each model; with fewer, the loss of one would delay a trainer.
   */
  private static final int MIN_ENGINES_PER_MODEL = 3;

  private final int modelsPerEngine;
  private final Map<InstanceId, Set<String>> followedModels = new HashMap<>();

  private ModelAssignment(int modelsPerEngine) {
    this.modelsPerEngine = modelsPerEngine;
  }

  /**
   * Creates an assignment without engines.
   *
   * @param modelsPerEngine number of models that an engine follows, at least 1
   */
  public static ModelAssignment create(int modelsPerEngine) {
    return new ModelAssignment(modelsPerEngine);
  }

  /**
   * An engine with the weight versions that it has.
   *
   * @param engine the engine
   * @param versions the weight version of each of its models
   */
  public record EngineWeights(InstanceId engine, Map<String, WeightVersion> versions) {}

  /**
   * Assigns the models to the engines.
   *
   * @param holders the current engines
   * @param models the models, at least one
   * @param newest the newest version of each model; models without a version are absent
   */
  public Map<InstanceId, Set<String>> assign(
      Collection<EngineWeights> holders, List<String> models, Map<String, WeightVersion> newest) {
    Map<InstanceId, Set<String>> assignment = new HashMap<>();
    boolean tooFewEngines =
        holders.size() * modelsPerEngine < MIN_ENGINES_PER_MODEL * models.size();
    if (models.size() <= modelsPerEngine || tooFewEngines) {
      holders.forEach(h -> assignment.put(h.engine(), Set.copyOf(models)));
      return assignment;
    }
    List<EngineWeights> sorted =
        holders.stream().sorted(Comparator.comparing(EngineWeights::engine)).toList();
    Map<String, Integer> counts = new HashMap<>();
    models.forEach(m -> counts.put(m, 0));
    for (EngineWeights h : sorted) {
      Set<String> keptModels = new TreeSet<>(followedModels.getOrDefault(h.engine(), Set.of()));
      keptModels.retainAll(models);
      keptModels.forEach(m -> counts.merge(m, 1, Integer::sum));
      assignment.put(h.engine(), keptModels);
    }
    sorted.forEach(h -> addMissingModels(h, assignment.get(h.engine()), models, counts, newest));
    balance(models, sorted, counts, assignment);
    followedModels.clear();
    followedModels.putAll(assignment);
    return assignment;
  }

  /** Adds models to an engine until it follows the intended number. */
  private void addMissingModels(
      EngineWeights holder,
      Set<String> followedByEngine,
      List<String> models,
      Map<String, Integer> counts,
      Map<String, WeightVersion> newest) {
    while (followedByEngine.size() < modelsPerEngine) {
      String next = modelWithLeastLag(holder, followedByEngine, models, counts, newest);
      followedByEngine.add(next);
      counts.merge(next, 1, Integer::sum);
    }
  }

  /**
   * Returns the model that an engine lags behind least; among several, the one with fewest engines.
   */
  private static String modelWithLeastLag(
      EngineWeights holder,
      Set<String> followedByEngine,
      List<String> models,
      Map<String, Integer> counts,
      Map<String, WeightVersion> newest) {
    Comparator<String> byLag = Comparator.comparingLong(m -> lag(holder, m, newest));
    return models.stream()
        .filter(m -> !followedByEngine.contains(m))
        .min(byLag.thenComparing(counts::get))
        .orElseThrow();
  }

  private static long lag(EngineWeights holder, String model, Map<String, WeightVersion> newest) {
    WeightVersion unknown = new WeightVersion(0);
    long newestNumber = newest.getOrDefault(model, unknown).number();
    return Math.max(0, newestNumber - holder.versions().getOrDefault(model, unknown).number());
  }

  /**
   * Moves engines from the model with most engines to the one with fewest, until the numbers of
   * engines per model differ by at most one.
   */
  private static void balance(
      List<String> models,
      List<EngineWeights> holders,
      Map<String, Integer> counts,
      Map<InstanceId, Set<String>> assignment) {
    Comparator<String> bySize = Comparator.comparing(counts::get);
    while (true) {
      String largest = models.stream().max(bySize).orElseThrow();
      String smallest = models.stream().min(bySize).orElseThrow();
      if (counts.get(largest) - counts.get(smallest) <= 1) {
        return;
      }
      Set<String> changed =
          holders.stream()
              .map(h -> assignment.get(h.engine()))
              .filter(f -> f.contains(largest) && !f.contains(smallest))
              .reduce((a, b) -> b)
              .orElseThrow();
      changed.remove(largest);
      changed.add(smallest);
      counts.merge(largest, -1, Integer::sum);
      counts.merge(smallest, 1, Integer::sum);
    }
  }
}
