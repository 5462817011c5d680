package org.carobhoist.core.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carobhoist.core.common.InstanceId;

/**
 * The queries to sidecars that have not been answered yet. Each one has a send time, so that a step
 * whose query or reply was lost can retry or give up instead of waiting forever.
 */
final class PendingQueries {

  private final Map<Long, Query> pending = new HashMap<>();

  /**
   * A query for the attempts that a sidecar holds.
   *
   * @param blocksStart whether the step starts no attempts before the reply has arrived
   * @param attempts the attempts to report on; empty for all attempts of the step
   * @param tries how often the query has been sent, from 1
   */
  record Query(
      InstanceId engine,
      Duration sentAt,
      boolean blocksStart,
      Set<AttemptKey> attempts,
      int tries) {}

  void add(long number, Query query) {
    pending.put(number, query);
  }

  /** Removes and returns the query that a reply refers to, if it was sent to that engine. */
  Optional<Query> onAnswer(InstanceId engine, long number) {
    Query found = pending.get(number);
    if (found == null || !found.engine().equals(engine)) {
      return Optional.empty();
    }
    return Optional.of(pending.remove(number));
  }

  /** Drops the queries to an engine whose link was lost. */
  void onEngineLost(InstanceId engine) {
    pending.values().removeIf(q -> q.engine().equals(engine));
  }

  /** Removes and returns the queries that were sent before a time. */
  List<Query> removeSentBefore(Duration time) {
    List<Query> expired = new ArrayList<>();
    pending.values().removeIf(q -> q.sentAt().compareTo(time) < 0 && expired.add(q));
    return expired;
  }

  /** Returns whether a query is pending that keeps the step from starting attempts. */
  boolean blocksStart() {
    return pending.values().stream().anyMatch(Query::blocksStart);
  }

  /** Returns whether a query to an engine is pending. */
  boolean hasQueryTo(InstanceId engine) {
    return pending.values().stream().anyMatch(q -> q.engine().equals(engine));
  }
}
