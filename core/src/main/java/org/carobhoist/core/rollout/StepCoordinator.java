package org.carobhoist.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;

/**
 * Coordinates one step at one entry. All of its state is soft: an entry that takes over asks the
 * sidecars what they hold before it starts anything. Samples that are missing, too old or failed
 * are started on an engine that the chooser names; whole groups that the trainer's cursor doesn't
 * hold are handed over after a check against the version that the trainer names itself.
 */
public final class StepCoordinator {

  private final RolloutPort port;
  private final RolloutPolicy policy;
  private final Supplier<Optional<InstanceId>> chooser;
  private final RandomGenerator random;
  private final Map<SampleKey, FinishedSample> finished = new HashMap<>();
  private final Map<SampleKey, Running> running = new HashMap<>();
  private StepRequest request;
  private int awaitedReplies;

  private record Running(AttemptKey attempt, InstanceId engine) {}

  private StepCoordinator(
      RolloutPort port,
      RolloutPolicy policy,
      Supplier<Optional<InstanceId>> chooser,
      RandomGenerator random) {
    this.port = port;
    this.policy = policy;
    this.chooser = chooser;
    this.random = random;
  }

  /**
   * Returns the coordinator of a step.
   *
   * @param chooser names the engine for the next sample, or empty if none is usable
   */
  public static StepCoordinator create(
      RolloutPort port,
      RolloutPolicy policy,
      Supplier<Optional<InstanceId>> chooser,
      RandomGenerator random) {
    return new StepCoordinator(port, policy, chooser, random);
  }

  /**
   * Takes a trainer's request. The first one asks {@code engines} engines what they hold; later
   * ones acknowledge what the cursor names.
   */
  public void onRequest(StepRequest next, int engines) {
    boolean first = request == null;
    request = next;
    finished.keySet().removeIf(k -> next.cursor().holds(k.group()));
    if (first) {
      awaitedReplies = engines;
      port.queryHeld(next.key());
    } else {
      port.acknowledge(next.key(), next.cursor());
    }
    startMissing();
  }

  /** Takes one engine's answer on what it holds. */
  public void onHeld(InstanceId engine, List<FinishedSample> samples, List<AttemptKey> attempts) {
    samples.forEach(this::keep);
    attempts.forEach(a -> running.putIfAbsent(a.sample(), new Running(a, engine)));
    awaitedReplies = Math.max(0, awaitedReplies - 1);
    startMissing();
  }

  /** Takes a finished sample. */
  public void onDone(FinishedSample sample) {
    running.remove(sample.attempt().sample());
    keep(sample);
    startMissing();
  }

  /** Takes the failure of an attempt; one that was given up before is ignored. */
  public void onFailed(AttemptKey attempt) {
    Running r = running.get(attempt.sample());
    if (r != null && r.attempt().equals(attempt)) {
      running.remove(attempt.sample());
    }
    startMissing();
  }

  /** Takes the loss of the link to an engine: its attempts are begun again elsewhere. */
  public void onEngineLost(InstanceId engine) {
    running.values().removeIf(r -> r.engine().equals(engine));
    startMissing();
  }

  /** Starts whatever could not be started before; to be called a few times a second. */
  public void tick() {
    startMissing();
  }

  /** Returns the whole groups that the trainer doesn't hold and that are fresh enough for it. */
  public StepPage page() {
    dropStale();
    Map<Integer, List<FinishedSample>> byGroup = new TreeMap<>();
    for (StepRequest.GroupPrompt p : request.prompts()) {
      if (!request.cursor().holds(p.group())) {
        group(p.group()).ifPresent(samples -> byGroup.put(p.group(), samples));
      }
    }
    List<StepPage.WholeGroup> groups = new ArrayList<>();
    byGroup.forEach((group, samples) -> groups.add(new StepPage.WholeGroup(group, samples)));
    return new StepPage(request.key(), request.cursor(), request.trainerVersion(), groups);
  }

  /** Returns the number of attempts in flight, for the state dump. */
  public int inFlight() {
    return running.size();
  }

  /** Returns the number of finished samples held, for the state dump. */
  public int held() {
    return finished.size();
  }

  private void keep(FinishedSample sample) {
    SampleKey key = sample.attempt().sample();
    if (isFresh(sample) && !request.cursor().holds(key.group())) {
      finished.putIfAbsent(key, sample);
    }
  }

  private void dropStale() {
    finished.values().removeIf(s -> !isFresh(s));
  }

  private boolean isFresh(FinishedSample sample) {
    WeightVersion trainer = request.trainerVersion();
    return !sample.tokens().isEmpty() && sample.oldest().behind(trainer) <= policy.maxStaleness();
  }

  private Optional<List<FinishedSample>> group(int group) {
    List<FinishedSample> samples = new ArrayList<>();
    for (int i = 0; i < request.samplesPerGroup(); i++) {
      FinishedSample sample = finished.get(new SampleKey(request.key(), group, i));
      if (sample == null) {
        return Optional.empty();
      }
      samples.add(sample);
    }
    return Optional.of(samples);
  }

  private void startMissing() {
    if (awaitedReplies > 0) {
      return;
    }
    dropStale();
    for (StepRequest.GroupPrompt p : request.prompts()) {
      if (!request.cursor().holds(p.group()) && !startGroup(p)) {
        return;
      }
    }
  }

  private boolean startGroup(StepRequest.GroupPrompt p) {
    for (int i = 0; i < request.samplesPerGroup(); i++) {
      SampleKey key = new SampleKey(request.key(), p.group(), i);
      if (finished.containsKey(key) || running.containsKey(key)) {
        continue;
      }
      Optional<InstanceId> engine = chooser.get();
      if (engine.isEmpty()) {
        return false;
      }
      AttemptKey attempt = new AttemptKey(key, random.nextInt(Integer.MAX_VALUE));
      running.put(key, new Running(attempt, engine.get()));
      port.start(engine.get(), attempt, p.prompt(), request.maxTokens());
    }
    return true;
  }
}
