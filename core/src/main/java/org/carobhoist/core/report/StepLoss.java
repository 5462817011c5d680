package org.carobhoist.core.report;

import java.time.Duration;
import java.util.Map;

/**
 * Breakdown of the time of one step.
 *
 * @param job id of the step's job
 * @param items number of items that finished before the step ended
 * @param bound lower bound: time of the longest item on the fastest engine, without any loss
 * @param took time from the acceptance of the job to its end
 * @param losses time lost by the item that ended last, by cause; together with the minimum time of
 *     that item they add up to {@code took}
 */
public record StepLoss(
    String job, int items, Duration bound, Duration took, Map<Cause, Duration> losses) {

  /** Causes of lost time. */
  public enum Cause {
    /** The item had not been assigned to an engine yet. */
    WAITING,
    /** The engine was slower than the fastest one. */
    SLOW,
    /** The engine was ordered to load weights during the run. */
    LOADING,
    /** The item waited between two runs, or regenerated events that were lost. */
    RESUMED,
    /** The item had ended; its result was listed and read until the trainer ended the step. */
    READING
  }

  /** Makes a defensive copy of the losses. */
  public StepLoss {
    losses = Map.copyOf(losses);
  }

  /** Returns the duration of the step as a multiple of its bound. */
  public double ratio() {
    return (double) took.toNanos() / Math.max(1, bound.toNanos());
  }

  /** Returns the time lost to a cause. */
  public Duration loss(Cause cause) {
    return losses.getOrDefault(cause, Duration.ZERO);
  }
}
