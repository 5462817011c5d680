package org.carobhoist.server.demo;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.carobhoist.standin.EngineStandIn;
import org.carobhoist.trainer.StepPageMessage;

/** Counts a trainer's samples, those that violate an invariant, and its idle time. Thread-safe. */
final class SampleTally {

  private final long maxStaleness;
  private final Map<Long, Long> byStaleness = new TreeMap<>();
  private Duration waited = Duration.ZERO;
  private Duration trained = Duration.ZERO;
  private long steps;
  private long stale;
  private long duplicated;
  private long lost;
  private long misattributed;

  /**
   * A snapshot of the counts.
   *
   * @param steps steps that the trainer has finished or given up
   * @param byStaleness number of samples by how many versions their oldest token is behind the
   *     trainer's version
   * @param stale samples that exceed the maximum staleness
   * @param duplicated samples that arrived more than once
   * @param lost samples that never arrived
   * @param misattributed samples that name a version that didn't generate them
   * @param idleShare fraction of the time that the trainer spent waiting, from 0 to 1
   */
  record Counts(
      long steps,
      Map<Long, Long> byStaleness,
      long stale,
      long duplicated,
      long lost,
      long misattributed,
      double idleShare) {

    long samples() {
      return byStaleness.values().stream().mapToLong(Long::longValue).sum();
    }

    boolean isClean() {
      return stale + duplicated + lost + misattributed == 0;
    }
  }

  SampleTally(long maxStaleness) {
    this.maxStaleness = maxStaleness;
  }

  /** Called for each sample that the trainer receives. */
  synchronized void onSample(StepPageMessage.Sample sample, long trainerVersion) {
    long oldest = sample.spans().stream().mapToLong(StepPageMessage.Span::version).min().orElse(0);
    long behind = Math.max(0, trainerVersion - oldest);
    byStaleness.merge(behind, 1L, Long::sum);
    if (behind > maxStaleness) {
      stale++;
    }
    if (!isAttributedCorrectly(sample)) {
      misattributed++;
    }
  }

  /** Called at the end of a step with the expected and received numbers of samples. */
  synchronized void onStep(long wanted, long arrived) {
    steps++;
    duplicated += Math.max(0, arrived - wanted);
    lost += Math.max(0, wanted - arrived);
  }

  /** Called after the trainer has waited for samples. */
  synchronized void onWaited(Duration time) {
    waited = waited.plus(time);
  }

  /** Called after the trainer has trained on a step. */
  synchronized void onTrained(Duration time) {
    trained = trained.plus(time);
  }

  synchronized Counts counts() {
    double all = waited.plus(trained).toNanos();
    return new Counts(
        steps,
        new TreeMap<>(byStaleness),
        stale,
        duplicated,
        lost,
        misattributed,
        all == 0 ? 0 : waited.toNanos() / all);
  }

  /** Returns whether the spans match the version that the stand-in encodes in each token. */
  private static boolean isAttributedCorrectly(StepPageMessage.Sample sample) {
    int covered = 0;
    for (StepPageMessage.Span span : sample.spans()) {
      List<Integer> tokens = sample.tokens().subList(span.from(), span.to());
      covered += tokens.size();
      if (tokens.stream().anyMatch(t -> t / EngineStandIn.TOKEN_BASE != span.version())) {
        return false;
      }
    }
    return covered == sample.tokens().size();
  }
}
