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
import org.carobhoist.core.rollout.HeldAnswer;
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
 * The steps that this entry coordinates, each with the trainers' requests that wait for a page. A
 * step whose profile changes is dropped and begun anew under the new one at the trainer's next
 * request; what was made stays with the sidecars.
 */
final class StepTable {

  private static final Duration TICK = Duration.ofMillis(200);
  private static final Duration IDLE_LIMIT = Duration.ofMinutes(5);
  private static final int MAX_PACES = 256;

  private final CallContext context;
  private final RandomGenerator random;
  private final Function<ProfileName, Optional<Profile>> profiles;
  private final Map<StepKey, StepRun> steps = new HashMap<>();
  private final Map<TrainerId, TrainerPace> paces =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<TrainerId, TrainerPace> eldest) {
          return size() > MAX_PACES;
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
    context.loop().every(TICK, this::tick);
  }

  /** Takes a trainer's request; the page comes as soon as a group is whole, or when time is up. */
  CompletableFuture<StepPage> request(Profile profile, StepRequest request, Duration wait) {
    dropIf(s -> s.key().equals(request.key()) && !s.profile().equals(profile));
    if (!steps.containsKey(request.key())) {
      makeRoom(request.key());
    }
    StepRun step = steps.computeIfAbsent(request.key(), key -> begin(profile, key));
    CompletableFuture<StepPage> page = step.request(request, wait);
    if (request.isComplete()) {
      EventLog.info(LogEvent.STEP_FINISHED, "step", request.key().step());
      dropIf(s -> s == step);
    }
    return page;
  }

  /** Takes a frame about samples; returns whether it was one. */
  boolean dispatch(InstanceId from, LinkFrame frame) {
    switch (frame.getBodyCase()) {
      case SAMPLE_DONE -> {
        SampleName name = frame.getSampleDone().getName();
        on(name, s -> s.onDone(from, SampleMapper.fromMessage(frame.getSampleDone())));
      }
      case SAMPLE_FAILED -> {
        AttemptKey attempt = SampleMapper.fromMessage(frame.getSampleFailed().getName());
        on(
            frame.getSampleFailed().getName(),
            s -> s.onFailed(from, attempt, SampleMapper.made(frame.getSampleFailed())));
      }
      case SAMPLE_PROGRESS ->
          on(
              frame.getSampleProgress().getName(),
              s -> s.onProgress(from, SampleMapper.fromMessage(frame.getSampleProgress())));
      case HELD_REPLY -> onHeld(from, frame.getHeldReply());
      default -> {
        return false;
      }
    }
    return true;
  }

  /** Tells every step that an engine's link is gone. */
  void onLinkLost(InstanceId engine) {
    steps.values().forEach(s -> s.on(c -> c.onEngineLost(engine)));
  }

  /** Tells every step that a new link leads to an engine, which may hold something of it. */
  void onLinkUp(InstanceId engine) {
    steps.values().forEach(s -> s.on(c -> c.onEngineUp(engine)));
  }

  /** Returns whether this entry works at the step. */
  boolean has(StepKey key) {
    return steps.containsKey(key);
  }

  int size() {
    return steps.size();
  }

  int inFlight() {
    return steps.values().stream().mapToInt(s -> s.coordinator().inFlight()).sum();
  }

  /**
   * Drops the steps of a trainer that asks for new ones without ending the old: a step holds
   * samples until its trainer's next request, and a trainer that has its last page may send none.
   */
  private void makeRoom(StepKey key) {
    List<StepRun> idle =
        steps.values().stream()
            .filter(s -> s.key().isOfSameTrainer(key) && !s.isAwaited())
            .sorted(Comparator.comparing(StepRun::lastRequest))
            .toList();
    int excess = idle.size() - (SampleStore.STEPS_PER_TRAINER - 1);
    Set<StepRun> old = Set.copyOf(idle.subList(0, Math.max(0, excess)));
    dropIf(old::contains);
  }

  private StepRun begin(Profile profile, StepKey key) {
    StepRun step = new StepRun(context, shares, profile, key, pace(key.trainer()), random);
    shares.add(key, step.coordinator());
    EventLog.info(LogEvent.STEP_STARTED, "profile", key.profile(), "step", key.step());
    return step;
  }

  private void on(SampleName name, Consumer<StepCoordinator> event) {
    AttemptKey attempt = SampleMapper.fromMessage(name);
    Optional.ofNullable(steps.get(attempt.sample().step())).ifPresent(s -> s.on(event));
  }

  private void onHeld(InstanceId from, HeldReply reply) {
    StepKey key = SampleMapper.step(reply.getProfile(), reply.getTrainer(), reply.getStep());
    HeldAnswer answer = SampleMapper.fromMessage(reply);
    Optional.ofNullable(steps.get(key)).ifPresent(s -> s.on(c -> c.onHeld(from, answer)));
  }

  private void tick() {
    Duration oldest = context.clock().elapsed().minus(IDLE_LIMIT);
    dropIf(s -> s.isIdleSince(oldest) || !isInForce(s.profile()));
    steps.values().forEach(s -> s.on(StepCoordinator::tick));
  }

  private boolean isInForce(Profile profile) {
    return profiles.apply(profile.name()).equals(Optional.of(profile));
  }

  private void dropIf(Predicate<StepRun> condition) {
    List<StepRun> dropped = steps.values().stream().filter(condition).toList();
    for (StepRun step : dropped) {
      steps.remove(step.key());
      shares.remove(step.key());
      step.answerAll();
    }
  }

  private TrainerPace pace(TrainerId trainer) {
    return paces.computeIfAbsent(trainer, t -> TrainerPace.create());
  }
}
