package org.carobhoist.core.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carobhoist.core.common.Clock;

/**
 * Finds links that are up by name only: frozen, half open, or to a process that hangs. A link on
 * which nothing was heard for a while gets a heartbeat, which the peer answers; one that stays
 * silent is declared dead. Busy links need no heartbeats. After a pause of this very process every
 * link gets its time anew, since the silence was its own.
 *
 * @param <L> the links
 */
public final class LinkMonitor<L> {

  /** Time between two calls of {@link #tick}. */
  public static final Duration TICK = Duration.ofMillis(500);

  private static final Duration QUIET = Duration.ofMillis(1_500);
  private static final Duration DEAD = Duration.ofMillis(4_500);
  private static final Duration OWN_PAUSE = Duration.ofSeconds(2);

  private final Port<L> port;
  private final Clock clock;
  private final Map<L, Duration> heard = new HashMap<>();
  private Duration lastTick;

  /**
   * What a monitor asks of its surroundings.
   *
   * @param <L> the links
   */
  public interface Port<L> {

    /** Sends a heartbeat. */
    void ping(L link);

    /** Closes a link that is dead. */
    void declareDead(L link);
  }

  private LinkMonitor(Port<L> port, Clock clock) {
    this.port = port;
    this.clock = clock;
    this.lastTick = clock.elapsed();
  }

  /** Returns a monitor without links. */
  public static <L> LinkMonitor<L> create(Port<L> port, Clock clock) {
    return new LinkMonitor<>(port, clock);
  }

  /** Takes a link that is up, or from which something was heard. */
  public void onHeard(L link) {
    heard.put(link, clock.elapsed());
  }

  /** Takes the end of a link. */
  public void onDown(L link) {
    heard.remove(link);
  }

  /** Sends heartbeats and declares links dead; to be called every {@link #TICK}. */
  public void tick() {
    Duration now = clock.elapsed();
    if (now.minus(lastTick).compareTo(OWN_PAUSE) > 0) {
      heard.replaceAll((link, at) -> now);
    }
    lastTick = now;
    for (L link : List.copyOf(heard.keySet())) {
      Duration silence = now.minus(heard.get(link));
      if (silence.compareTo(DEAD) >= 0) {
        heard.remove(link);
        port.declareDead(link);
      } else if (silence.compareTo(QUIET) >= 0) {
        port.ping(link);
      }
    }
  }
}
