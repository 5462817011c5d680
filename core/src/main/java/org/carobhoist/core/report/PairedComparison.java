package org.carobhoist.core.report;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Compares variants of the system that were played on the same days and seeds. The differences to
 * the first variant are taken pair by pair, so that what a day or a seed is like drops out.
 */
public final class PairedComparison {

  /** 97.5% quantiles of Student's t distribution for 1 to 30 degrees of freedom. */
  private static final double[] T_QUANTILES = {
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056,
    2.052, 2.048, 2.045, 2.042
  };

  /** The same quantile for more degrees of freedom. */
  private static final double NORMAL_QUANTILE = 1.96;

  private final List<String> variants;
  private final Map<PlayKey, Map<String, Map<String, Double>>> plays = new LinkedHashMap<>();
  private final Set<String> figureNames = new LinkedHashSet<>();

  private PairedComparison(List<String> variants) {
    this.variants = List.copyOf(variants);
  }

  /**
   * Returns a comparison without plays.
   *
   * @param variants names of the variants; the first one is what the others are compared with
   */
  public static PairedComparison of(List<String> variants) {
    return new PairedComparison(variants);
  }

  /** Adds the figures of a play by their names. */
  public void add(PlayKey key, String variant, Map<String, Double> figures) {
    plays.computeIfAbsent(key, k -> new LinkedHashMap<>()).put(variant, figures);
    figureNames.addAll(figures.keySet());
  }

  /**
   * Returns a Markdown table with a row for each site, day, figure and variant after the first: the
   * means of both variants over the pairs, the mean difference, and the half width of its 95%
   * interval. Plays without a counterpart are left out.
   */
  public List<String> table() {
    List<String> lines = new ArrayList<>();
    lines.add(
        "| site | day | figure | " + variants.get(0) + " | variant | mean | change | pairs |");
    lines.add("|---|---|---|---|---|---|---|---|");
    for (Map.Entry<String, List<PlayKey>> group : groups().entrySet()) {
      for (String figure : figureNames) {
        for (String variant : variants.subList(1, variants.size())) {
          addRow(lines, group.getKey(), group.getValue(), figure, variant);
        }
      }
    }
    return lines;
  }

  /** Returns the plays of each day, then all of each site, by the first cells of a row. */
  private Map<String, List<PlayKey>> groups() {
    Map<String, List<PlayKey>> groups = new TreeMap<>();
    for (PlayKey key : plays.keySet()) {
      groups.computeIfAbsent(key.site() + " | " + key.day(), k -> new ArrayList<>()).add(key);
      groups.computeIfAbsent(key.site() + " | all", k -> new ArrayList<>()).add(key);
    }
    return groups;
  }

  private void addRow(
      List<String> lines, String cells, List<PlayKey> keys, String figure, String variant) {
    List<Double> before = new ArrayList<>();
    List<Double> after = new ArrayList<>();
    for (PlayKey key : keys) {
      Map<String, Map<String, Double>> play = plays.get(key);
      Double first = play.getOrDefault(variants.get(0), Map.of()).get(figure);
      Double other = play.getOrDefault(variant, Map.of()).get(figure);
      if (first != null && other != null) {
        before.add(first);
        after.add(other);
      }
    }
    if (before.isEmpty()) {
      return;
    }
    List<Double> changes = new ArrayList<>();
    for (int i = 0; i < before.size(); i++) {
      changes.add(after.get(i) - before.get(i));
    }
    lines.add(
        String.format(
            Locale.ROOT,
            "| %s | %s | %.3f | %s | %.3f | %+.3f%s | %d |",
            cells,
            figure,
            mean(before),
            variant,
            mean(after),
            mean(changes),
            changes.size() > 1 ? String.format(Locale.ROOT, " ± %.3f", halfInterval(changes)) : "",
            changes.size()));
  }

  /** Returns half the width of the 95% interval of the mean of two values or more. */
  static double halfInterval(List<Double> values) {
    int freedom = values.size() - 1;
    double mean = mean(values);
    double squares = values.stream().mapToDouble(v -> (v - mean) * (v - mean)).sum();
    double quantile = freedom <= T_QUANTILES.length ? T_QUANTILES[freedom - 1] : NORMAL_QUANTILE;
    return quantile * Math.sqrt(squares / freedom / values.size());
  }

  private static double mean(List<Double> values) {
    return values.stream().mapToDouble(v -> v).average().orElse(0);
  }
}
