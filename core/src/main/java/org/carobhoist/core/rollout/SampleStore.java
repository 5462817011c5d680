package org.carobhoist.core.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carobhoist.core.common.Clock;

/**
 * A sidecar's attempts and finished samples. They are kept until a trainer's cursor acknowledges
 * their group or no message about their step has arrived for the retention time, so that another
 * entry can take over a step without generating samples twice.
 *
 * <p>A trainer that never completes its steps must not exhaust the memory: of one trainer's steps
 * under a profile only the most recently used ones are kept. Evicted samples are generated again if
 * they are requested later.
 *
 * <p>An acknowledgement applies only to what is held at that moment and is not remembered, so a
 * trainer that was restored with an older cursor can get the same groups again.
 */
public final class SampleStore {

  /** Time for which the samples of a step are kept after the last message about it. */
  public static final Duration RETENTION = Duration.ofMinutes(10);

  /** Maximum number of steps kept for one trainer under one profile. */
  public static final int STEPS_PER_TRAINER = 4;

  private final Clock clock;
  private final Map<StepKey, Step> steps = new HashMap<>();

  private static final class Step {
    private final Set<AttemptKey> running = new HashSet<>();
    private final Map<AttemptKey, FinishedSample> finished = new HashMap<>();
    private Duration lastUsedAt = Duration.ZERO;

    private boolean isEmpty() {
      return running.isEmpty() && finished.isEmpty();
    }
  }

  private SampleStore(Clock clock) {
    this.clock = clock;
  }

  /** Creates an empty store. */
  public static SampleStore create(Clock clock) {
    return new SampleStore(clock);
  }

  /** Records the start of an attempt; returns false if it is already running or finished. */
  public boolean begin(AttemptKey attempt) {
    StepKey key = attempt.sample().step();
    if (!steps.containsKey(key)) {
      evictIdleSteps(key);
    }
    Step step = steps.computeIfAbsent(key, k -> new Step());
    step.lastUsedAt = clock.elapsed();
    return !step.finished.containsKey(attempt) && step.running.add(attempt);
  }

  /** Stores a finished sample. */
  public void finish(FinishedSample sample) {
    AttemptKey attempt = sample.attempt();
    Step step = steps.computeIfAbsent(attempt.sample().step(), key -> new Step());
    step.lastUsedAt = clock.elapsed();
    step.running.remove(attempt);
    step.finished.put(attempt, sample);
  }

  /** Removes an attempt, running or finished. */
  public void drop(AttemptKey attempt) {
    Step step = steps.get(attempt.sample().step());
    if (step != null) {
      step.running.remove(attempt);
      step.finished.remove(attempt);
      removeIfEmpty(attempt.sample().step(), step);
    }
  }

  /**
   * Removes the finished samples of the groups that the trainer holds.
   *
   * @return the attempts in flight for these groups, which the caller must cancel
   */
  public List<AttemptKey> acknowledge(StepKey key, GroupCursor cursor) {
    Step step = steps.get(key);
    if (step == null) {
      return List.of();
    }
    step.lastUsedAt = clock.elapsed();
    step.finished.keySet().removeIf(a -> cursor.holds(a.sample().group()));
    List<AttemptKey> unneeded =
        step.running.stream().filter(a -> cursor.holds(a.sample().group())).toList();
    removeIfEmpty(key, step);
    return unneeded;
  }

  /**
   * Removes a step with all its attempts and samples.
   *
   * @return its attempts in flight, which the caller must cancel
   */
  public List<AttemptKey> forget(StepKey key) {
    Step step = steps.remove(key);
    return step == null ? List.of() : List.copyOf(step.running);
  }

  /**
   * Removes the steps about which no message has arrived for the retention time. Must be called
   * periodically.
   *
   * @return their attempts in flight, which the caller must cancel
   */
  public List<AttemptKey> expire() {
    Duration usedBefore = clock.elapsed().minus(RETENTION);
    List<StepKey> expired =
        steps.entrySet().stream()
            .filter(e -> e.getValue().lastUsedAt.compareTo(usedBefore) < 0)
            .map(Map.Entry::getKey)
            .toList();
    List<AttemptKey> unneeded = new ArrayList<>();
    expired.forEach(key -> unneeded.addAll(forget(key)));
    return unneeded;
  }

  /** Returns the finished samples of a step and restarts its retention time. */
  public List<FinishedSample> finished(StepKey key) {
    Step step = touch(key);
    return step == null ? List.of() : new ArrayList<>(step.finished.values());
  }

  /** Returns the attempts of a step that are in flight and restarts its retention time. */
  public List<AttemptKey> running(StepKey key) {
    Step step = touch(key);
    return step == null ? List.of() : new ArrayList<>(step.running);
  }

  /** Returns the number of attempts and samples held; used by the state dump. */
  public int size() {
    return steps.values().stream().mapToInt(s -> s.running.size() + s.finished.size()).sum();
  }

  /** Evicts the trainer's least recently used steps without running attempts, to add a new one. */
  private void evictIdleSteps(StepKey key) {
    List<StepKey> idle =
        steps.entrySet().stream()
            .filter(e -> e.getKey().isOfSameTrainer(key) && e.getValue().running.isEmpty())
            .sorted(Map.Entry.comparingByValue(Comparator.comparing(step -> step.lastUsedAt)))
            .map(Map.Entry::getKey)
            .toList();
    int excess = idle.size() - (STEPS_PER_TRAINER - 1);
    idle.stream().limit(Math.max(0, excess)).forEach(steps::remove);
  }

  private Step touch(StepKey key) {
    Step step = steps.get(key);
    if (step != null) {
      step.lastUsedAt = clock.elapsed();
    }
    return step;
  }

  private void removeIfEmpty(StepKey key, Step step) {
    if (step.isEmpty()) {
      steps.remove(key);
    }
  }
}
