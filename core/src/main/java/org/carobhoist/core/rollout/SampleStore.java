package org.carobhoist.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A sidecar's attempts and finished samples, kept until a trainer's cursor acknowledges their group
 * or they expire, so that another entry can take a step over without generating anything twice.
 */
public final class SampleStore {

  private final Map<StepKey, Step> steps = new HashMap<>();

  private static final class Step {
    private final Set<AttemptKey> running = new HashSet<>();
    private final Map<AttemptKey, FinishedSample> finished = new HashMap<>();
    private GroupCursor cursor = GroupCursor.empty();
  }

  private SampleStore() {}

  /** Returns an empty store. */
  public static SampleStore create() {
    return new SampleStore();
  }

  /** Notes the start of an attempt; returns false if it runs or is finished already. */
  public boolean begin(AttemptKey attempt) {
    Step step = steps.computeIfAbsent(attempt.sample().step(), key -> new Step());
    return !step.finished.containsKey(attempt) && step.running.add(attempt);
  }

  /** Keeps a finished sample, unless its group is acknowledged already. */
  public void finish(FinishedSample sample) {
    AttemptKey attempt = sample.attempt();
    Step step = steps.computeIfAbsent(attempt.sample().step(), key -> new Step());
    step.running.remove(attempt);
    if (!step.cursor.holds(attempt.sample().group())) {
      step.finished.put(attempt, sample);
    }
  }

  /** Forgets an attempt that failed or was cancelled. */
  public void drop(AttemptKey attempt) {
    Step step = steps.get(attempt.sample().step());
    if (step != null) {
      step.running.remove(attempt);
    }
  }

  /** Forgets the finished samples of the groups that the trainer holds. */
  public void acknowledge(StepKey key, GroupCursor cursor) {
    Step step = steps.computeIfAbsent(key, k -> new Step());
    step.cursor = cursor;
    step.finished.keySet().removeIf(a -> cursor.holds(a.sample().group()));
  }

  /** Forgets a step whole. */
  public void forget(StepKey key) {
    steps.remove(key);
  }

  /** Returns the finished samples of a step. */
  public List<FinishedSample> finished(StepKey key) {
    Step step = steps.get(key);
    return step == null ? List.of() : new ArrayList<>(step.finished.values());
  }

  /** Returns the attempts of a step that are in flight. */
  public List<AttemptKey> running(StepKey key) {
    Step step = steps.get(key);
    return step == null ? List.of() : new ArrayList<>(step.running);
  }

  /** Returns the number of attempts and samples held, for the state dump. */
  public int size() {
    return steps.values().stream().mapToInt(s -> s.running.size() + s.finished.size()).sum();
  }
}
