package org.carobhoist.core.rollout;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Priority queue of the samples of a step that have no attempt in flight, longest expected first. A
 * sample whose attempt has just failed is held back until its backoff is over. A sample that is no
 * longer missing is skipped when it reaches the head of the queue.
 */
final class MissingSamples {

  private final PriorityQueue<SampleSlot> queue =
      new PriorityQueue<>(
          Comparator.comparingInt((SampleSlot s) -> -s.prompt.expectedTokens())
              .thenComparingInt(s -> s.key.group())
              .thenComparingInt(s -> s.key.index()));
  private final Deque<SampleSlot> backingOff = new ArrayDeque<>();

  void add(SampleSlot slot) {
    if (!slot.queued) {
      slot.queued = true;
      queue.add(slot);
    }
  }

  /** Returns the sample to start next, or empty if none can be started at this time. */
  Optional<SampleSlot> first(Duration now) {
    while (!queue.isEmpty()) {
      SampleSlot slot = queue.peek();
      boolean inBackoff = slot.notBefore.compareTo(now) > 0;
      if (slot.state() == SampleState.MISSING && !inBackoff) {
        return Optional.of(slot);
      }
      removeFirst();
      if (slot.state() == SampleState.MISSING) {
        backingOff.add(slot);
      }
    }
    return Optional.empty();
  }

  /** Removes the sample that {@link #first} has returned. */
  void removeFirst() {
    queue.poll().queued = false;
  }

  /** Puts the samples whose backoff is over back into the queue. */
  void requeueAfterBackoff(Duration now) {
    for (int i = backingOff.size(); i > 0; i--) {
      SampleSlot slot = backingOff.poll();
      if (slot.notBefore.compareTo(now) <= 0) {
        add(slot);
      } else {
        backingOff.add(slot);
      }
    }
  }
}
