package org.carobhoist.core.swap;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;

/**
 * Which engines follow which model. The load that it answers: several trainers share the engines of
 * a service, each names a version every few seconds, and every load takes an engine away from its
 * runs. If each engine followed every model, it would load all the time; so the engines are divided
 * evenly, and each follows one model. Where there are too few for that, all follow all.
 *
 * <p>Engines keep their model while the shares differ by one engine at most. A new coordinator
 * takes an engine to follow the model whose newest version it is nearest to.
 */
public final class ModelShares {

  /** Engines that each model must have; with fewer the loss of one would hold a trainer up. */
  private static final int LEAST_SHARE = 3;

  private final Map<InstanceId, String> followed = new HashMap<>();

  private ModelShares() {}

  /** Returns shares without engines. */
  public static ModelShares create() {
    return new ModelShares();
  }

  /**
   * An engine and the weights that it has.
   *
   * @param engine the engine
   * @param versions the versions of its models
   */
  public record Holder(InstanceId engine, Map<String, WeightVersion> versions) {}

  /**
   * Divides the engines among the models.
   *
   * @param holders the engines that there are now
   * @param models the models, at least one
   * @param newest the newest version of each model that was named; none for those without
   */
  public Map<InstanceId, Set<String>> divide(
      Collection<Holder> holders, List<String> models, Map<String, WeightVersion> newest) {
    Map<InstanceId, Set<String>> out = new HashMap<>();
    if (models.size() == 1 || holders.size() < LEAST_SHARE * models.size()) {
      holders.forEach(h -> out.put(h.engine(), Set.copyOf(models)));
      return out;
    }
    Map<String, List<Holder>> shares = new HashMap<>();
    models.forEach(m -> shares.put(m, new ArrayList<>()));
    List<Holder> free = new ArrayList<>();
    holders.stream()
        .sorted(Comparator.comparing(Holder::engine))
        .forEach(h -> shares.getOrDefault(followed.getOrDefault(h.engine(), ""), free).add(h));
    free.forEach(h -> shares.get(nearest(h, models, shares, newest)).add(h));
    balance(models, shares);
    followed.clear();
    shares.forEach((model, share) -> share.forEach(h -> followed.put(h.engine(), model)));
    followed.forEach((engine, model) -> out.put(engine, Set.of(model)));
    return out;
  }

  /** Returns the model that an engine lags behind least; of several the one with fewest engines. */
  private static String nearest(
      Holder holder,
      List<String> models,
      Map<String, List<Holder>> shares,
      Map<String, WeightVersion> newest) {
    Comparator<String> byLag = Comparator.comparingLong(m -> lag(holder, m, newest));
    return models.stream().min(byLag.thenComparingInt(m -> shares.get(m).size())).orElseThrow();
  }

  private static long lag(Holder holder, String model, Map<String, WeightVersion> newest) {
    WeightVersion first = new WeightVersion(0);
    long named = newest.getOrDefault(model, first).number();
    return Math.max(0, named - holder.versions().getOrDefault(model, first).number());
  }

  /** Moves engines from the largest share to the smallest until they differ by one at most. */
  private static void balance(List<String> models, Map<String, List<Holder>> shares) {
    Comparator<String> bySize = Comparator.comparingInt(m -> shares.get(m).size());
    while (true) {
      List<Holder> most = shares.get(models.stream().max(bySize).orElseThrow());
      List<Holder> least = shares.get(models.stream().min(bySize).orElseThrow());
      if (most.size() - least.size() <= 1) {
        return;
      }
      least.add(most.remove(most.size() - 1));
    }
  }
}
