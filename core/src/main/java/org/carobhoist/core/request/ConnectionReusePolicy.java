package org.carobhoist.core.request;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.carobhoist.core.common.Clock;

/**
 * Decides to which servers connections may be reused. A server whose connection was out of step,
 * because it sent bytes that were no awaited response, is likely to do so again, and the next
 * request on a reused connection would fail for it. It gets a connection for each request until
 * some time has passed. Used on one thread.
 */
public final class ConnectionReusePolicy {

  /** Maximum number of servers that are remembered; the one remembered longest is forgotten. */
  private static final int MAX_SERVERS = 1_024;

  private final Clock clock;
  private final Duration pause;
  private final Map<String, Duration> restrictedUntil =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Duration> eldest) {
          return size() > MAX_SERVERS;
        }
      };

  private ConnectionReusePolicy(Clock clock, Duration pause) {
    this.clock = clock;
    this.pause = pause;
  }

  /**
   * Creates a policy that allows connections to all servers to be reused.
   *
   * @param pause how long no connection to a server is reused after one was out of step; not less
   *     than the time after which idle connections are closed, since any of them may hold the
   *     beginning of a response
   */
  public static ConnectionReusePolicy create(Clock clock, Duration pause) {
    return new ConnectionReusePolicy(clock, pause);
  }

  /**
   * Called when a connection to a server was out of step.
   *
   * @param address host and port of the server
   * @return whether connections to the server were reused until now
   */
  public boolean onOutOfStep(String address) {
    boolean reused = mayReuse(address);
    restrictedUntil.put(address, clock.elapsed().plus(pause));
    return reused;
  }

  /** Returns whether a connection to the server may carry more than one request. */
  public boolean mayReuse(String address) {
    Duration until = restrictedUntil.get(address);
    if (until == null) {
      return true;
    }
    if (clock.elapsed().compareTo(until) < 0) {
      return false;
    }
    restrictedUntil.remove(address);
    return true;
  }
}
