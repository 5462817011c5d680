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

  private static final Duration SHORTEST_GAP = Duration.ofSeconds(1);

  /** Interval per link; with about 70 bytes per announcement this keeps to 1 KB per second. */
  private static final Duration GAP_PER_LINK = Duration.ofMillis(70);

  /** Fraction of the limit by which the load or the limit must change to be announced. */
  private static final double LOAD_STEP = 0.125;

  private final Clock clock;
  private EndpointAnnouncement last;
  private Duration sentAt;

  private AnnouncementPacer(Clock clock) {
    this.clock = clock;
  }

  /** Returns a pacer that has not sent any announcement. */
  public static AnnouncementPacer create(Clock clock) {
    return new AnnouncementPacer(clock);
  }

  /** Returns whether the given announcement should be sent now to the given number of links. */
  public boolean isDue(EndpointAnnouncement present, int links) {
    if (last == null || isUrgent(present)) {
      return true;
    }
    Duration budget = GAP_PER_LINK.multipliedBy(links);
    Duration gap = budget.compareTo(SHORTEST_GAP) > 0 ? budget : SHORTEST_GAP;
    return clock.elapsed().minus(sentAt).compareTo(gap) >= 0 && isNews(present);
  }

  /** Called when an announcement has been sent. */
  public void onSent(EndpointAnnouncement sent) {
    last = sent;
    sentAt = clock.elapsed();
  }

  private boolean isUrgent(EndpointAnnouncement present) {
    return present.phase() != last.phase() || !present.version().equals(last.version());
  }

  private boolean isNews(EndpointAnnouncement present) {
    double step = Math.max(1, LOAD_STEP * present.limit());
    int moved = Math.abs(load(present) - load(last));
    boolean emptied = load(present) == 0 && load(last) > 0;
    return moved >= step || emptied || Math.abs(present.limit() - last.limit()) >= step;
  }

  private static int load(EndpointAnnouncement a) {
    return a.inFlight() + a.queued();
  }
}
