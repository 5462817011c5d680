package org.carobhoist.core.rollout;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * The samples of a step to be started, longest expected first. A sample whose attempt has just
 * failed stands aside for a while. One that is no longer missing is skipped when its turn comes.
 */
final class MissingSamples {

  private final PriorityQueue<SampleSlot> queue =
      new PriorityQueue<>(
          Comparator.comparingInt((SampleSlot s) -> -s.prompt.expectedTokens())
              .thenComparingInt(s -> s.key.group())
              .thenComparingInt(s -> s.key.index()));
  private final Deque<SampleSlot> aside = new ArrayDeque<>();

  void add(SampleSlot slot) {
    if (!slot.queued) {
      slot.queued = true;
      queue.add(slot);
    }
  }

  /** Returns the sample to start next, or empty if there is none at the moment. */
  Optional<SampleSlot> first(Duration now) {
    while (!queue.isEmpty()) {
      SampleSlot slot = queue.peek();
      boolean early = slot.notBefore.compareTo(now) > 0;
      if (slot.state() == SampleState.MISSING && !early) {
        return Optional.of(slot);
      }
      removeFirst();
      if (slot.state() == SampleState.MISSING) {
        aside.add(slot);
      }
    }
    return Optional.empty();
  }

  /** Takes out the sample that {@link #first} has named. */
  void removeFirst() {
    queue.poll().queued = false;
  }

  /** Puts those back whose time aside is over. */
  void readmit(Duration now) {
    for (int i = aside.size(); i > 0; i--) {
      SampleSlot slot = aside.poll();
      if (slot.notBefore.compareTo(now) <= 0) {
        add(slot);
      } else {
        aside.add(slot);
      }
    }
  }
}
