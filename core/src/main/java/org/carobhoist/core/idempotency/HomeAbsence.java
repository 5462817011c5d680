package org.carobhoist.core.idempotency;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.carobhoist.core.common.Clock;

/**
 * Notes at an entry which homes can't be reached, and tells when to take one out of the view. Only
 * requests for a home count, so nobody is removed who isn't missed. A wrong guess costs its keys a
 * new tenure, never a second run.
 */
public final class HomeAbsence {

  static final Duration PATIENCE = Duration.ofSeconds(60);

  private final Clock clock;
  private final Map<HomeMember, Duration> missedSince = new HashMap<>();

  private HomeAbsence(Clock clock) {
    this.clock = clock;
  }

  /** Returns a record of no absences. */
  public static HomeAbsence create(Clock clock) {
    return new HomeAbsence(clock);
  }

  /** Notes that a home was reached. */
  public void onReached(HomeMember member) {
    missedSince.remove(member);
  }

  /** Notes that a home was missed; returns whether it has been for so long that it should go. */
  public boolean onMissed(HomeMember member) {
    Duration now = clock.elapsed();
    Duration since = missedSince.computeIfAbsent(member, key -> now);
    if (now.minus(since).compareTo(PATIENCE) < 0) {
      return false;
    }
    missedSince.remove(member);
    return true;
  }
}
