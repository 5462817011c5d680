package org.carobhoist.core.membership;

import java.time.Duration;
import org.carobhoist.core.common.Clock;

/**
 * Decides when an endpoint announcement is sent. A change of phase or weight version is announced
 * at once. A change of load is announced only if it is large relative to the concurrency limit, and
 * no more often than the bandwidth budget for control traffic allows for the current number of
 * links; responses report the load as well.
 */
public final class AnnouncementPacer {

  private static final Duration MIN_INTERVAL = Duration.ofSeconds(1);

  /** Interval per link; with about 70 bytes per announcement this keeps to 1 KB per second. */
  private static final Duration INTERVAL_PER_LINK = Duration.ofMillis(70);

  /** Fraction of the limit by which the load or the limit must change to be announced. */
  private static final double MIN_CHANGE_FRACTION = 0.125;

  private final Clock clock;
  private EndpointAnnouncement lastSent;
  private Duration lastSentAt;

  private AnnouncementPacer(Clock clock) {
    this.clock = clock;
  }

  /** Returns a pacer that has not sent any announcement. */
  public static AnnouncementPacer create(Clock clock) {
    return new AnnouncementPacer(clock);
  }

  /** Returns whether the given announcement should be sent now to the given number of links. */
  public boolean isDue(EndpointAnnouncement current, int links) {
    if (lastSent == null || isUrgent(current)) {
      return true;
    }
    Duration budgetInterval = INTERVAL_PER_LINK.multipliedBy(links);
    Duration interval = budgetInterval.compareTo(MIN_INTERVAL) > 0 ? budgetInterval : MIN_INTERVAL;
    return clock.elapsed().minus(lastSentAt).compareTo(interval) >= 0
        && isSignificantChange(current);
  }

  /** Called when an announcement has been sent. */
  public void onSent(EndpointAnnouncement sent) {
    lastSent = sent;
    lastSentAt = clock.elapsed();
  }

  private boolean isUrgent(EndpointAnnouncement current) {
    return current.phase() != lastSent.phase() || !current.version().equals(lastSent.version());
  }

  private boolean isSignificantChange(EndpointAnnouncement current) {
    double minChange = Math.max(1, MIN_CHANGE_FRACTION * current.limit());
    int change = Math.abs(load(current) - load(lastSent));
    boolean becameIdle = load(current) == 0 && load(lastSent) > 0;
    return change >= minChange
        || becameIdle
        || Math.abs(current.limit() - lastSent.limit()) >= minChange;
  }

  private static int load(EndpointAnnouncement a) {
    return a.inFlight() + a.queued();
  }
}
