package org.carobhoist.core.membership;

import java.time.Duration;
import org.carobhoist.core.common.Clock;

/**
 * Decides when an announcement is worth sending. A change of phase or weight version goes out at
 * once. A change of load goes out only if it is large against the limit, and not more often than
 * the budget for control allows at the present number of links; answers carry the load as well.
 */
public final class AnnouncementPacer {

  private static final Duration SHORTEST_GAP = Duration.ofSeconds(1);

  /** Gap for each link: an announcement takes some 70 bytes, so that 1 KB a second is kept. */
  private static final Duration GAP_PER_LINK = Duration.ofMillis(70);

  /** Part of the limit by which the load must have changed. */
  private static final double LOAD_STEP = 0.125;

  private final Clock clock;
  private EndpointAnnouncement last;
  private Duration sentAt;

  private AnnouncementPacer(Clock clock) {
    this.clock = clock;
  }

  /** Returns a pacer that hasn't sent anything. */
  public static AnnouncementPacer create(Clock clock) {
    return new AnnouncementPacer(clock);
  }

  /** Returns whether the present announcement should be sent to so many links. */
  public boolean isDue(EndpointAnnouncement present, int links) {
    if (last == null || isUrgent(present)) {
      return true;
    }
    Duration budget = GAP_PER_LINK.multipliedBy(links);
    Duration gap = budget.compareTo(SHORTEST_GAP) > 0 ? budget : SHORTEST_GAP;
    return clock.elapsed().minus(sentAt).compareTo(gap) >= 0 && isNews(present);
  }

  /** Notes that an announcement was sent. */
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
