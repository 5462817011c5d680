package org.carobhoist.core.limit;

import java.time.Duration;
import org.carobhoist.core.common.Clock;

/**
 * Holds back requests for which an engine has no KV cache left. The engine's report lags, so what
 * has been admitted since the report is subtracted from it. An old report means "unknown" and holds
 * nothing back.
 */
final class KvGate {

  private static final Duration REPORT_LIFE = Duration.ofSeconds(5);

  private final Clock clock;
  private Duration reported = REPORT_LIFE.negated();
  private long free = Long.MAX_VALUE;

  KvGate(Clock clock) {
    this.clock = clock;
  }

  /** Takes the engine's report of its free tokens. */
  void onReport(long freeTokens) {
    free = freeTokens;
    reported = clock.elapsed();
  }

  /** Returns whether a request that takes so many tokens fits. */
  boolean fits(long tokens) {
    boolean unknown = clock.elapsed().minus(reported).compareTo(REPORT_LIFE) >= 0;
    return unknown || tokens <= free;
  }

  /** Counts the tokens of a request that was admitted. */
  void onAdmit(long tokens) {
    if (free != Long.MAX_VALUE) {
      free -= tokens;
    }
  }
}
