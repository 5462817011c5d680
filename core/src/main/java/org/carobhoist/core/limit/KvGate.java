package org.carobhoist.core.limit;

import java.time.Duration;
import org.carobhoist.core.common.Clock;

/**
 * Tracks the free KV cache of an engine, to hold back requests that don't fit. The engine's report
 * lags behind, so the tokens of requests admitted since the report are subtracted from it. Without
 * a recent report the free space counts as unknown, and no request is held back.
 */
final class KvGate {

  private static final Duration REPORT_LIFE = Duration.ofSeconds(5);

  private final Clock clock;
  private Duration reported = REPORT_LIFE.negated();
  private long free = Long.MAX_VALUE;

  KvGate(Clock clock) {
    this.clock = clock;
  }

  /** Called when the engine reports its number of free tokens. */
  void onReport(long freeTokens) {
    free = freeTokens;
    reported = clock.elapsed();
  }

  /** Returns whether a request that needs this many tokens fits. */
  boolean fits(long tokens) {
    boolean unknown = clock.elapsed().minus(reported).compareTo(REPORT_LIFE) >= 0;
    return unknown || tokens <= free;
  }

  /** Called when a request is admitted; subtracts its tokens. */
  void onAdmit(long tokens) {
    if (free != Long.MAX_VALUE) {
      free -= tokens;
    }
  }
}
