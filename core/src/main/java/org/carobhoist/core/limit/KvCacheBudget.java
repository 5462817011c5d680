package org.carobhoist.core.limit;

import java.time.Duration;
import org.carobhoist.core.common.Clock;

/**
 * Tracks the free KV cache of an engine, to hold back requests that don't fit. The engine's report
 * lags behind, so the tokens of requests admitted since the report are subtracted from it. Without
 * a recent report the free space counts as unknown, and no request is held back.
 */
final class KvCacheBudget {

  private static final Duration MAX_REPORT_AGE = Duration.ofSeconds(5);

  private final Clock clock;
  private Duration reportedAt = MAX_REPORT_AGE.negated();
  private long freeTokens = Long.MAX_VALUE;

  KvCacheBudget(Clock clock) {
    this.clock = clock;
  }

  /** Called when the engine reports its number of free tokens. */
  void onReport(long reportedTokens) {
    freeTokens = reportedTokens;
    reportedAt = clock.elapsed();
  }

  /** Returns whether a request that needs this many tokens fits. */
  boolean fits(long tokens) {
    boolean unknown = clock.elapsed().minus(reportedAt).compareTo(MAX_REPORT_AGE) >= 0;
    return unknown || tokens <= freeTokens;
  }

  /** Called when a request is admitted; subtracts its tokens. */
  void onAdmit(long tokens) {
    if (freeTokens != Long.MAX_VALUE) {
      freeTokens -= tokens;
    }
  }
}
