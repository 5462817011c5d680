package org.carobhoist.server.entry;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.common.TrainerId;
import org.carobhoist.core.profile.Profile;
import org.carobhoist.core.rollout.AttemptKey;
import org.carobhoist.core.rollout.EngineShares;
import org.carobhoist.core.rollout.HeldSamples;
import org.carobhoist.core.rollout.SampleStore;
import org.carobhoist.core.rollout.StepCoordinator;
import org.carobhoist.core.rollout.StepKey;
import org.carobhoist.core.rollout.StepPage;
import org.carobhoist.core.rollout.StepRequest;
import org.carobhoist.core.rollout.TrainerPace;
import org.carobhoist.server.link.SampleMapper;
import org.carobhoist.server.link.proto.HeldReply;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.link.proto.SampleName;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/**
 * The steps that this entry coordinates, each with the trainer's requests that wait for a page. If
 * the profile of a step changes, the step is dropped here and coordinated again under the new
 * profile from the trainer's next request on. Samples that were already generated stay at the
 * sidecars.
 */
final class StepTable {

  private static final Duration TICK_PERIOD = Duration.ofMillis(200);
  private static final Duration IDLE_LIMIT = Duration.ofMinutes(5);
  private static final int MAX_TRAINER_PACES = 256;

  private final CallContext context;
  private final RandomGenerator random;
  private final Function<ProfileName, Optional<Profile>> profiles;
  private final Map<StepKey, ActiveStep> steps = new HashMap<>();
  private final Map<TrainerId, TrainerPace> paces =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<TrainerId, TrainerPace> eldest) {
          return size() > MAX_TRAINER_PACES;
        }
      };
  private final EngineShares shares = EngineShares.create();

  StepTable(
      CallContext context,
      RandomGenerator random,
      Function<ProfileName, Optional<Profile>> profiles) {
    this.context = context;
    this.random = random;
    this.profiles = profiles;
  }

  void start() {
    context.loop().every(TICK_PERIOD, this::tick);
  }

  /**
   * Handles a trainer's request.
   *
   * @return the page, as soon as a group is complete or {@code wait} has passed
   */
  CompletableFuture<StepPage> request(Profile profile, StepRequest request, Duration wait) {
    dropIf(s -> s.key().equals(request.key()) && !s.profile().equals(profile));
    if (!steps.containsKey(request.key())) {
      dropExcessSteps(request.key());
    }
    ActiveStep step = steps.computeIfAbsent(request.key(), key -> startStep(profile, key));
    CompletableFuture<StepPage> page = step.request(request, wait);
    if (request.isComplete()) {
      EventLog.info(LogEvent.STEP_FINISHED, "step", request.key().step());
      dropIf(s -> s == step);
    }
    return page;
  }

  /** Passes a frame to the step that it concerns; returns false if it isn't about samples. */
  boolean dispatch(InstanceId from, LinkFrame frame) {
    switch (frame.getBodyCase()) {
      case SAMPLE_DONE -> {
        SampleName name = frame.getSampleDone().getName();
        onSampleEvent(name, s -> s.onDone(from, SampleMapper.fromMessage(frame.getSampleDone())));
      }
      case SAMPLE_FAILED -> {
        AttemptKey attempt = SampleMapper.fromMessage(frame.getSampleFailed().getName());
        onSampleEvent(
            frame.getSampleFailed().getName(),
            s -> s.onFailed(from, attempt, SampleMapper.toPrefix(frame.getSampleFailed())));
      }
      case SAMPLE_PROGRESS ->
          onSampleEvent(
              frame.getSampleProgress().getName(),
              s -> s.onProgress(from, SampleMapper.fromMessage(frame.getSampleProgress())));
      case HELD_REPLY -> onHeldReply(from, frame.getHeldReply());
      default -> {
        return false;
      }
    }
    return true;
  }

  /** Called when the link to an engine is lost; notifies every step. */
  void onLinkLost(InstanceId engine) {
    steps.values().forEach(s -> s.onEvent(c -> c.onEngineLost(engine)));
  }

  /** Called when a link to an engine is up; the engine may hold samples of any step. */
  void onLinkUp(InstanceId engine) {
    steps.values().forEach(s -> s.onEvent(c -> c.onEngineUp(engine)));
  }

  /** Returns whether this entry coordinates the step. */
  boolean contains(StepKey key) {
    return steps.containsKey(key);
  }

  int size() {
    return steps.size();
  }

  int samplesInFlight() {
    return steps.values().stream().mapToInt(s -> s.coordinator().inFlight()).sum();
  }

  /**
   * Drops the least recently requested steps of a trainer that starts new steps without ending the
   * old ones. A step holds its samples until the trainer's next request for it, and a trainer that
   * has received the last page may never send one.
   */
  private void dropExcessSteps(StepKey key) {
    List<ActiveStep> idle =
        steps.values().stream()
            .filter(s -> s.key().isOfSameTrainer(key) && !s.hasWaiters())
            .sorted(Comparator.comparing(ActiveStep::lastRequestAt))
            .toList();
    int excess = idle.size() - (SampleStore.STEPS_PER_TRAINER - 1);
    Set<ActiveStep> excessSteps = Set.copyOf(idle.subList(0, Math.max(0, excess)));
    dropIf(excessSteps::contains);
  }

  private ActiveStep startStep(Profile profile, StepKey key) {
    ActiveStep step = new ActiveStep(context, shares, profile, key, paceOf(key.trainer()), random);
    shares.add(key, step.coordinator());
    EventLog.info(LogEvent.STEP_STARTED, "profile", key.profile(), "step", key.step());
    return step;
  }

  private void onSampleEvent(SampleName name, Consumer<StepCoordinator> event) {
    AttemptKey attempt = SampleMapper.fromMessage(name);
    Optional.ofNullable(steps.get(attempt.sample().step())).ifPresent(s -> s.onEvent(event));
  }

  private void onHeldReply(InstanceId from, HeldReply reply) {
    StepKey key = SampleMapper.stepKey(reply.getProfile(), reply.getTrainer(), reply.getStep());
    HeldSamples answer = SampleMapper.fromMessage(reply);
    Optional.ofNullable(steps.get(key)).ifPresent(s -> s.onEvent(c -> c.onHeld(from, answer)));
  }

  private void tick() {
    Duration cutoff = context.clock().elapsed().minus(IDLE_LIMIT);
    dropIf(s -> s.isIdleSince(cutoff) || !isInForce(s.profile()));
    steps.values().forEach(s -> s.onEvent(StepCoordinator::tick));
  }

  private boolean isInForce(Profile profile) {
    return profiles.apply(profile.name()).equals(Optional.of(profile));
  }

  private void dropIf(Predicate<ActiveStep> condition) {
    List<ActiveStep> dropped = steps.values().stream().filter(condition).toList();
    for (ActiveStep step : dropped) {
      steps.remove(step.key());
      shares.remove(step.key());
      step.answerWaiters();
    }
  }

  private TrainerPace paceOf(TrainerId trainer) {
    return paces.computeIfAbsent(trainer, t -> TrainerPace.create());
  }
}
