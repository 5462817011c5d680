package org.carobhoist.core.rollout;

import java.time.Duration;
import java.util.Optional;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;

/** The coordinator's record of an attempt in flight. */
final class AttemptTracker {

  final AttemptKey attempt;
  final InstanceId engine;
  final Duration startedAt;
  final int prefixTokens;
  Duration lastReportAt;
  int generated;
  Optional<WeightVersion> oldest;
  int unansweredQueries;
  boolean handBackRequested;

  AttemptTracker(
      AttemptKey attempt,
      InstanceId engine,
      Duration startedAt,
      int prefixTokens,
      Optional<WeightVersion> oldest) {
    this.attempt = attempt;
    this.engine = engine;
    this.startedAt = startedAt;
    this.prefixTokens = prefixTokens;
    this.lastReportAt = startedAt;
    this.generated = prefixTokens;
    this.oldest = oldest;
  }

  /** Called when the sidecar has reported the attempt's progress. */
  void onProgress(RunningAttempt report, Duration now) {
    lastReportAt = now;
    unansweredQueries = 0;
    generated = Math.max(generated, report.generated());
    if (report.oldest().isPresent()) {
      oldest = report.oldest();
    }
  }

  /** Returns the rate in tokens per second up to the last report; 0 before the first token. */
  double rate() {
    double seconds = lastReportAt.minus(startedAt).toNanos() / 1e9;
    return seconds <= 0 ? 0 : (generated - prefixTokens) / seconds;
  }
}
