package org.carobhoist.core.request;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.carobhoist.core.common.Clock;

/**
 * The ids of the requests that were sent to each server lately. A server may send a response twice,
 * the second time where the response to the next request on the connection is expected. The id in
 * it tells it from the response to any request but one with the same id.
 */
public final class RecentRequests {

  private final Clock clock;
  private final Duration lifetime;
  private final int maxCount;
  private final Map<Key, Duration> sentAt = new LinkedHashMap<>();

  private record Key(String address, String id) {}

  private RecentRequests(Clock clock, Duration lifetime, int maxCount) {
    this.clock = clock;
    this.lifetime = lifetime;
    this.maxCount = maxCount;
  }

  /**
   * Creates an empty set.
   *
   * @param lifetime how long an id is kept after it was sent last
   * @param maxCount maximum number of ids; the oldest are forgotten first
   */
  public static RecentRequests create(Clock clock, Duration lifetime, int maxCount) {
    return new RecentRequests(clock, lifetime, maxCount);
  }

  /**
   * Adds a request that is about to be sent.
   *
   * @param address host and port of the server
   * @return whether a request with that id was sent to the server lately
   */
  public boolean add(String address, String id) {
    Duration now = clock.elapsed();
    Key key = new Key(address, id);
    Duration previous = sentAt.remove(key);
    removeOldest(now);
    sentAt.put(key, now);
    return previous != null && !isExpired(previous, now);
  }

  /** Removes the expired ids, and makes room for another one. */
  private void removeOldest(Duration now) {
    Iterator<Duration> oldestFirst = sentAt.values().iterator();
    while (oldestFirst.hasNext()) {
      if (!isExpired(oldestFirst.next(), now) && sentAt.size() < maxCount) {
        return;
      }
      oldestFirst.remove();
    }
  }

  private boolean isExpired(Duration since, Duration now) {
    return now.minus(since).compareTo(lifetime) > 0;
  }
}
