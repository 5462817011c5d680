package org.carobhoist.core.rollout;

import java.time.Duration;
import java.util.Optional;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;

/** The coordinator's record of an attempt in flight. */
final class Flight {

  final AttemptKey attempt;
  final InstanceId engine;
  final Duration startedAt;
  final int begunWith;
  Duration lastHeard;
  int generated;
  Optional<WeightVersion> oldest;
  int unanswered;
  boolean handingBack;

  Flight(
      AttemptKey attempt,
      InstanceId engine,
      Duration startedAt,
      int begunWith,
      Optional<WeightVersion> oldest) {
    this.attempt = attempt;
    this.engine = engine;
    this.startedAt = startedAt;
    this.begunWith = begunWith;
    this.lastHeard = startedAt;
    this.generated = begunWith;
    this.oldest = oldest;
  }

  /** Called when the sidecar has reported the attempt's progress. */
  void onProgress(RunningAttempt report, Duration now) {
    lastHeard = now;
    unanswered = 0;
    generated = Math.max(generated, report.generated());
    if (report.oldest().isPresent()) {
      oldest = report.oldest();
    }
  }

  /** Returns the rate in tokens per second up to the last report; 0 before the first token. */
  double rate() {
    double seconds = lastHeard.minus(startedAt).toNanos() / 1e9;
    return seconds <= 0 ? 0 : (generated - begunWith) / seconds;
  }
}
