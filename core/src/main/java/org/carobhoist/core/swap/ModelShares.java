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
public final class ModelShares {

  /**
   * Minimum number of engines for each model; with fewer, the loss of one would delay a trainer.
   */
  private static final int LEAST_SHARE = 3;

  private final int modelsPerEngine;
  private final Map<InstanceId, Set<String>> followed = new HashMap<>();

  private ModelShares(int modelsPerEngine) {
    this.modelsPerEngine = modelsPerEngine;
  }

  /**
   * Creates an assignment without engines.
   *
   * @param modelsPerEngine number of models that an engine follows, at least 1
   */
  public static ModelShares create(int modelsPerEngine) {
    return new ModelShares(modelsPerEngine);
  }

  /**
   * An engine with the weight versions that it has.
   *
   * @param engine the engine
   * @param versions the weight version of each of its models
   */
  public record Holder(InstanceId engine, Map<String, WeightVersion> versions) {}

  /**
   * Assigns the models to the engines.
   *
   * @param holders the current engines
   * @param models the models, at least one
   * @param newest the newest version of each model; models without a version are absent
   */
  public Map<InstanceId, Set<String>> divide(
      Collection<Holder> holders, List<String> models, Map<String, WeightVersion> newest) {
    Map<InstanceId, Set<String>> out = new HashMap<>();
    boolean few = holders.size() * modelsPerEngine < LEAST_SHARE * models.size();
    if (models.size() <= modelsPerEngine || few) {
      holders.forEach(h -> out.put(h.engine(), Set.copyOf(models)));
      return out;
    }
    List<Holder> sorted = holders.stream().sorted(Comparator.comparing(Holder::engine)).toList();
    Map<String, Integer> counts = new HashMap<>();
    models.forEach(m -> counts.put(m, 0));
    for (Holder h : sorted) {
      Set<String> kept = new TreeSet<>(followed.getOrDefault(h.engine(), Set.of()));
      kept.retainAll(models);
      kept.forEach(m -> counts.merge(m, 1, Integer::sum));
      out.put(h.engine(), kept);
    }
    sorted.forEach(h -> fill(h, out.get(h.engine()), models, counts, newest));
    balance(models, sorted, counts, out);
    followed.clear();
    followed.putAll(out);
    return out;
  }

  /** Adds models to an engine until it follows the intended number. */
  private void fill(
      Holder holder,
      Set<String> follows,
      List<String> models,
      Map<String, Integer> counts,
      Map<String, WeightVersion> newest) {
    while (follows.size() < modelsPerEngine) {
      String next = nearest(holder, follows, models, counts, newest);
      follows.add(next);
      counts.merge(next, 1, Integer::sum);
    }
  }

  /**
   * Returns the model that an engine lags behind least; among several, the one with fewest engines.
   */
  private static String nearest(
      Holder holder,
      Set<String> follows,
      List<String> models,
      Map<String, Integer> counts,
      Map<String, WeightVersion> newest) {
    Comparator<String> byLag = Comparator.comparingLong(m -> lag(holder, m, newest));
    return models.stream()
        .filter(m -> !follows.contains(m))
        .min(byLag.thenComparing(counts::get))
        .orElseThrow();
  }

  private static long lag(Holder holder, String model, Map<String, WeightVersion> newest) {
    WeightVersion first = new WeightVersion(0);
    long named = newest.getOrDefault(model, first).number();
    return Math.max(0, named - holder.versions().getOrDefault(model, first).number());
  }

  /**
   * Moves engines from the model with most engines to the one with fewest, until the numbers of
   * engines per model differ by at most one.
   */
  private static void balance(
      List<String> models,
      List<Holder> holders,
      Map<String, Integer> counts,
      Map<InstanceId, Set<String>> out) {
    Comparator<String> bySize = Comparator.comparing(counts::get);
    while (true) {
      String most = models.stream().max(bySize).orElseThrow();
      String least = models.stream().min(bySize).orElseThrow();
      if (counts.get(most) - counts.get(least) <= 1) {
        return;
      }
      Set<String> moved =
          holders.stream()
              .map(h -> out.get(h.engine()))
              .filter(f -> f.contains(most) && !f.contains(least))
              .reduce((a, b) -> b)
              .orElseThrow();
      moved.remove(most);
      moved.add(least);
      counts.merge(most, -1, Integer::sum);
      counts.merge(least, 1, Integer::sum);
    }
  }
}
