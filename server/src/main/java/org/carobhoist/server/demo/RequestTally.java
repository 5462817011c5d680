package org.carobhoist.server.demo;

import java.util.EnumMap;
import java.util.Map;
import org.carobhoist.core.common.Verdict;

/** Counts how requests ended, and every answer that broke a promise. Safe for many threads. */
final class RequestTally {

  private final Map<Verdict, Long> verdicts = new EnumMap<>(Verdict.class);
  private long sent;
  private long cut;
  private long lost;
  private long broken;
  private long doubled;
  private long falseNotRun;
  private String firstLoss = "";

  /**
   * The counts at one moment.
   *
   * @param sent requests sent
   * @param completed answers that were whole
   * @param notRun refusals that say "not run"
   * @param mayHaveRun refusals that say "may have run"
   * @param cut answers that broke off with an error after they had begun, as when an engine crashes
   * @param lost requests without any answer, and completed ones that never ran
   * @param broken completed answers that weren't whole or weren't the request's own
   * @param doubled non-idempotent requests that ran more than once
   * @param falseNotRun requests that ran though their answer says "not run"
   * @param firstLoss why the first lost request was lost, or empty
   */
  record Counts(
      long sent,
      long completed,
      long notRun,
      long mayHaveRun,
      long cut,
      long lost,
      long broken,
      long doubled,
      long falseNotRun,
      String firstLoss) {

    boolean isClean() {
      return lost + broken + doubled + falseNotRun == 0;
    }
  }

  synchronized void onSent() {
    sent++;
  }

  /** Counts an answer; {@code whole} says whether a completed one was the request's own. */
  synchronized void onAnswer(Verdict verdict, boolean whole) {
    verdicts.merge(verdict, 1L, Long::sum);
    if (verdict == Verdict.COMPLETED && !whole) {
      broken++;
    }
  }

  /** Counts an answer that broke off; its caller knows, since the stream ended with an error. */
  synchronized void onCut() {
    cut++;
  }

  synchronized void onNoAnswer(Throwable failure) {
    lost++;
    if (firstLoss.isEmpty()) {
      firstLoss = failure.toString();
    }
  }

  /** Compares how often a non-idempotent request ran with what its caller was told. */
  synchronized void onRuns(Verdict verdict, int runs) {
    if (runs > 1) {
      doubled++;
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
        cut,
        lost,
        broken,
        doubled,
        falseNotRun,
        firstLoss);
  }
}
