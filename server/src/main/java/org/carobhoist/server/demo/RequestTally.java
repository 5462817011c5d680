package org.carobhoist.server.demo;

import java.util.EnumMap;
import java.util.Map;
import org.carobhoist.core.common.Verdict;

/** Counts requests by outcome, and responses that violate an invariant. Thread-safe. */
final class RequestTally {

  private final Map<Verdict, Long> verdicts = new EnumMap<>(Verdict.class);
  private long sent;
  private long truncated;
  private long lost;
  private long broken;
  private long duplicated;
  private long falseNotRun;
  private String firstLoss = "";

  /**
   * A snapshot of the counts.
   *
   * @param sent requests sent
   * @param completed responses with the verdict "completed"
   * @param notRun refusals that say "not run"
   * @param mayHaveRun refusals that say "may have run"
   * @param truncated responses that started but ended with an error, such as after an engine crash
   * @param lost requests without a response, and completed ones that never ran
   * @param broken completed responses that were truncated or belonged to another request
   * @param duplicated non-idempotent requests that ran more than once
   * @param falseNotRun requests that ran although their response says "not run"
   * @param firstLoss cause of the first loss, or empty
   */
  record Counts(
      long sent,
      long completed,
      long notRun,
      long mayHaveRun,
      long truncated,
      long lost,
      long broken,
      long duplicated,
      long falseNotRun,
      String firstLoss) {

    boolean isClean() {
      return lost + broken + duplicated + falseNotRun == 0;
    }
  }

  /** Called when a request is sent. */
  synchronized void onSent() {
    sent++;
  }

  /**
   * Called when a response has arrived.
   *
   * @param whole whether the content is complete and belongs to the request; ignored unless the
   *     verdict is completed
   */
  synchronized void onResponse(Verdict verdict, boolean whole) {
    verdicts.merge(verdict, 1L, Long::sum);
    if (verdict == Verdict.COMPLETED && !whole) {
      broken++;
    }
  }

  /** Called when a response was cut short; not a loss, since its stream ended with an error. */
  synchronized void onTruncated() {
    truncated++;
  }

  /** Called when a request failed without a response. */
  synchronized void onNoResponse(Throwable failure) {
    lost++;
    if (firstLoss.isEmpty()) {
      firstLoss = failure.toString();
    }
  }

  /** Checks the verdict on a non-idempotent request against the number of times it ran. */
  synchronized void onRuns(Verdict verdict, int runs) {
    if (runs > 1) {
      duplicated++;
    }
    if (verdict == Verdict.COMPLETED && runs == 0) {
      lost++;
      firstLoss = firstLoss.isEmpty() ? "completed without a run" : firstLoss;
    }
    if (verdict == Verdict.NOT_RUN && runs > 0) {
      falseNotRun++;
    }
  }

  synchronized Counts counts() {
    return new Counts(
        sent,
        verdicts.getOrDefault(Verdict.COMPLETED, 0L),
        verdicts.getOrDefault(Verdict.NOT_RUN, 0L),
        verdicts.getOrDefault(Verdict.MAY_HAVE_RUN, 0L),
        truncated,
        lost,
        broken,
        duplicated,
        falseNotRun,
        firstLoss);
  }
}
