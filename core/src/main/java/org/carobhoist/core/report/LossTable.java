package org.carobhoist.core.report;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.carobhoist.core.report.StepLoss.Cause;

/** Formats the losses of steps as a text table: one line per step, then the mean and a summary. */
public final class LossTable {

  private static final double NANOS_PER_SECOND = 1e9;

  private LossTable() {}

  /** Returns the lines of the table. */
  public static List<String> lines(List<StepLoss> steps) {
    List<String> out = new ArrayList<>();
    out.add(row("step", "items", "bound", "took", "ratio", causeNames()));
    steps.forEach(s -> out.add(line(s)));
    if (!steps.isEmpty()) {
      out.add(meanLine(steps));
      List<Double> ratios = steps.stream().map(StepLoss::ratio).sorted().toList();
      out.add(
          String.format(
              Locale.ROOT,
              "time against the bound: median %.2f, worst %.2f, steps %d",
              ratios.get(ratios.size() / 2),
              ratios.get(ratios.size() - 1),
              ratios.size()));
    }
    return out;
  }

  private static String line(StepLoss step) {
    List<String> losses = new ArrayList<>();
    for (Cause cause : Cause.values()) {
      losses.add(text(seconds(step.loss(cause))));
    }
    return row(
        step.job(),
        Integer.toString(step.items()),
        text(seconds(step.bound())),
        text(seconds(step.took())),
        text(step.ratio()),
        losses);
  }

  private static String meanLine(List<StepLoss> steps) {
    List<String> losses = new ArrayList<>();
    for (Cause cause : Cause.values()) {
      losses.add(text(steps.stream().mapToDouble(s -> seconds(s.loss(cause))).average().orElse(0)));
    }
    return row(
        "mean",
        text(steps.stream().mapToInt(StepLoss::items).average().orElse(0)),
        text(steps.stream().mapToDouble(s -> seconds(s.bound())).average().orElse(0)),
        text(steps.stream().mapToDouble(s -> seconds(s.took())).average().orElse(0)),
        text(steps.stream().mapToDouble(StepLoss::ratio).average().orElse(0)),
        losses);
  }

  private static String row(
      String step, String items, String bound, String took, String ratio, List<String> losses) {
    StringBuilder sb = new StringBuilder();
    sb.append(String.format(Locale.ROOT, "%-28s %6s %7s %7s %6s", step, items, bound, took, ratio));
    losses.forEach(l -> sb.append(String.format(Locale.ROOT, " %8s", l)));
    return sb.toString();
  }

  private static List<String> causeNames() {
    List<String> out = new ArrayList<>();
    for (Cause cause : Cause.values()) {
      out.add(cause.name().toLowerCase(Locale.ROOT));
    }
    return out;
  }

  private static double seconds(Duration d) {
    return d.toNanos() / NANOS_PER_SECOND;
  }

  private static String text(double value) {
    return String.format(Locale.ROOT, "%.2f", value);
  }
}
