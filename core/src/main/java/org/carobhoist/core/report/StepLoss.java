package org.carobhoist.core.report;

import java.time.Duration;
import java.util.Map;

/**
 * Where the time of one step went.
 *
 * @param job its job
 * @param items items that ended before the step did
 * @param bound the time of its longest item at the fastest engine, without any loss
 * @param took time from the job's acceptance to its end
 * @param losses what the item that ended last lost, by cause; with its own least time they add up
 *     to the time that the step took
 */
public record StepLoss(
    String job, int items, Duration bound, Duration took, Map<Cause, Duration> losses) {

  /** Causes of a loss. */
  public enum Cause {
    /** No engine had been given the item yet. */
    WAITING,
    /** The engine was slower than the fastest one. */
    SLOW,
    /** The engine loaded weights during the run. */
    LOADING,
    /** The item waited between two runs, or generated again what was lost. */
    RESUMED,
    /** The result was listed and read, and the step ended by its trainer. */
    READING
  }

  /** Copies the losses. */
  public StepLoss {
    losses = Map.copyOf(losses);
  }

  /** Returns the time taken as a multiple of the bound. */
  public double ratio() {
    return (double) took.toNanos() / Math.max(1, bound.toNanos());
  }

  /** Returns the loss by a cause. */
  public Duration loss(Cause cause) {
    return losses.getOrDefault(cause, Duration.ZERO);
  }
}
