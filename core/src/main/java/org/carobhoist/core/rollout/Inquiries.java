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
final class Inquiries {

  private final Map<Long, Inquiry> open = new HashMap<>();

  /**
   * A query for the attempts that a sidecar holds.
   *
   * @param whole whether the step starts no attempts before the reply has arrived
   * @param attempts the attempts to report on; empty for all attempts of the step
   * @param round how often the query has been sent, from 1
   */
  record Inquiry(
      InstanceId engine, Duration sentAt, boolean whole, Set<AttemptKey> attempts, int round) {}

  void add(long number, Inquiry inquiry) {
    open.put(number, inquiry);
  }

  /** Removes and returns the query that a reply refers to, if it was sent to that engine. */
  Optional<Inquiry> onAnswer(InstanceId engine, long number) {
    Inquiry found = open.get(number);
    if (found == null || !found.engine().equals(engine)) {
      return Optional.empty();
    }
    return Optional.of(open.remove(number));
  }

  /** Drops the queries to an engine whose link was lost. */
  void onEngineLost(InstanceId engine) {
    open.values().removeIf(i -> i.engine().equals(engine));
  }

  /** Removes and returns the queries that were sent before a time. */
  List<Inquiry> takeSentBefore(Duration time) {
    List<Inquiry> late = new ArrayList<>();
    open.values().removeIf(i -> i.sentAt().compareTo(time) < 0 && late.add(i));
    return late;
  }

  /** Returns whether a query is pending that keeps the step from starting attempts. */
  boolean awaitsWhole() {
    return open.values().stream().anyMatch(Inquiry::whole);
  }

  /** Returns whether a query to an engine is pending. */
  boolean awaits(InstanceId engine) {
    return open.values().stream().anyMatch(i -> i.engine().equals(engine));
  }
}
