package org.carobhoist.core.idempotency;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.carobhoist.core.common.Clock;

/**
 * Tracks which home sidecars an entry cannot reach and reports when one should be removed from the
 * home view. Only requests for a home count, so a home that no request needs is never removed.
 * Removing a live home by mistake only starts a new tenure for its keys (see {@link HomeHistory});
 * it never causes a request to run twice.
 */
public final class HomeFailureDetector {

  static final Duration REMOVAL_TIMEOUT = Duration.ofSeconds(60);

  private final Clock clock;
  private final Map<HomeMember, Duration> unreachableSince = new HashMap<>();

  private HomeFailureDetector(Clock clock) {
    this.clock = clock;
  }

  /** Returns a detector that has seen no unreachable home. */
  public static HomeFailureDetector create(Clock clock) {
    return new HomeFailureDetector(clock);
  }

  /** Called when a request finds its home reachable. */
  public void onReachable(HomeMember member) {
    unreachableSince.remove(member);
  }

  /**
   * Called when a request finds its home unreachable.
   *
   * @return whether the home has been unreachable for so long that it should be removed
   */
  public boolean onUnreachable(HomeMember member) {
    Duration now = clock.elapsed();
    Duration since = unreachableSince.computeIfAbsent(member, key -> now);
    if (now.minus(since).compareTo(REMOVAL_TIMEOUT) < 0) {
      return false;
    }
    unreachableSince.remove(member);
    return true;
  }
}
