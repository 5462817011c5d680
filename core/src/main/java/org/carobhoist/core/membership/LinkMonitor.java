package org.carobhoist.core.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carobhoist.core.common.Clock;

/**
 * Detects links that are open but no longer work: frozen, half-open, or to a process that hangs. A
 * link on which nothing has been received for a while is sent a heartbeat, which the peer answers;
 * a link that stays silent is declared dead. Busy links need no heartbeats. After a pause of the
 * local process all timers restart, since the pause itself may have caused the silence.
 *
 * @param <L> type of the links
 */
public final class LinkMonitor<L> {

  /** Interval at which {@link #tick} must be called. */
  public static final Duration TICK = Duration.ofMillis(500);

  private static final Duration HEARTBEAT_AFTER = Duration.ofMillis(1_500);
  private static final Duration DEAD_AFTER = Duration.ofMillis(4_500);
  private static final Duration LOCAL_PAUSE_THRESHOLD = Duration.ofSeconds(2);

  private final Port<L> port;
  private final Clock clock;
  private final Map<L, Duration> lastReceivedAt = new HashMap<>();
  private Duration lastTick;

  /**
   * Operations on links that a monitor requests from their owner.
   *
   * @param <L> type of the links
   */
  public interface Port<L> {

    /** Sends a heartbeat on a link. */
    void ping(L link);

    /** Closes a link that no longer works. */
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

  /** Called when a link is opened and whenever data is received on it. */
  public void onReceived(L link) {
    lastReceivedAt.put(link, clock.elapsed());
  }

  /** Called when a link is closed. */
  public void onDown(L link) {
    lastReceivedAt.remove(link);
  }

  /** Sends heartbeats and declares links dead; must be called every {@link #TICK}. */
  public void tick() {
    Duration now = clock.elapsed();
    if (now.minus(lastTick).compareTo(LOCAL_PAUSE_THRESHOLD) > 0) {
      lastReceivedAt.replaceAll((link, at) -> now);
    }
    lastTick = now;
    for (L link : List.copyOf(lastReceivedAt.keySet())) {
      Duration silence = now.minus(lastReceivedAt.get(link));
      if (silence.compareTo(DEAD_AFTER) >= 0) {
        lastReceivedAt.remove(link);
        port.declareDead(link);
      } else if (silence.compareTo(HEARTBEAT_AFTER) >= 0) {
        port.ping(link);
      }
    }
  }
}
