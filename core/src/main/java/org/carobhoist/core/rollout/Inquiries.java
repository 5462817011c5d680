package org.carobhoist.core.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carobhoist.core.common.InstanceId;

/** The questions to sidecars that are still open, so that a lost answer blocks nothing for ever. */
final class Inquiries {

  private final Map<Long, Inquiry> open = new HashMap<>();

  /**
   * A question.
   *
   * @param whole whether the step's start waits for the answer
   * @param attempts the attempts asked for; none for the whole step
   * @param round how often it has been asked, from 1
   */
  record Inquiry(
      InstanceId engine, Duration sentAt, boolean whole, Set<AttemptKey> attempts, int round) {}

  void add(long number, Inquiry inquiry) {
    open.put(number, inquiry);
  }

  /** Closes the question that an answer names, if that engine was asked it. */
  Optional<Inquiry> onAnswer(InstanceId engine, long number) {
    Inquiry found = open.get(number);
    if (found == null || !found.engine().equals(engine)) {
      return Optional.empty();
    }
    return Optional.of(open.remove(number));
  }

  /** Drops the questions to an engine that is gone. */
  void onEngineLost(InstanceId engine) {
    open.values().removeIf(i -> i.engine().equals(engine));
  }

  /** Takes out the questions that were sent before a time. */
  List<Inquiry> takeSentBefore(Duration time) {
    List<Inquiry> late = new ArrayList<>();
    open.values().removeIf(i -> i.sentAt().compareTo(time) < 0 && late.add(i));
    return late;
  }

  /** Returns whether a question is open for whose answer the step's start waits. */
  boolean awaitsWhole() {
    return open.values().stream().anyMatch(Inquiry::whole);
  }

  /** Returns whether an engine is being asked. */
  boolean awaits(InstanceId engine) {
    return open.values().stream().anyMatch(i -> i.engine().equals(engine));
  }
}
