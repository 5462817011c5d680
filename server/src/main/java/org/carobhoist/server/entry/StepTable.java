package org.carobhoist.server.entry;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.profile.Profile;
import org.carobhoist.core.rollout.AttemptKey;
import org.carobhoist.core.rollout.FinishedSample;
import org.carobhoist.core.rollout.GroupCursor;
import org.carobhoist.core.rollout.RolloutPort;
import org.carobhoist.core.rollout.StepCoordinator;
import org.carobhoist.core.rollout.StepKey;
import org.carobhoist.core.rollout.StepPage;
import org.carobhoist.core.rollout.StepRequest;
import org.carobhoist.core.routing.EndpointView;
import org.carobhoist.core.routing.RouteQuery;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.SampleMapper;
import org.carobhoist.server.link.proto.HeldQuery;
import org.carobhoist.server.link.proto.HeldReply;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.link.proto.SampleCancel;
import org.carobhoist.server.link.proto.SampleDone;
import org.carobhoist.server.link.proto.SampleStart;
import org.carobhoist.server.link.proto.StepAck;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/** The steps that this entry coordinates, each with the trainers' requests that wait for a page. */
final class StepTable {

  private static final Duration TICK = Duration.ofMillis(200);
  private static final Duration IDLE_LIMIT = Duration.ofMinutes(5);

  private final CallContext context;
  private final RandomGenerator random;
  private final Map<StepKey, Step> steps = new HashMap<>();
  private final Map<Long, Step> queries = new HashMap<>();
  private long lastQuery;

  StepTable(CallContext context, RandomGenerator random) {
    this.context = context;
    this.random = random;
  }

  void start() {
    context.loop().every(TICK, this::tick);
  }

  /** Takes a trainer's request; the page comes as soon as a group is whole, or when time is up. */
  CompletableFuture<StepPage> request(Profile profile, StepRequest request, Duration wait) {
    Step step = steps.computeIfAbsent(request.key(), key -> new Step(profile, key));
    return step.request(request, wait);
  }

  /** Takes a frame about samples; returns whether it was one. */
  boolean dispatch(InstanceId from, LinkFrame frame) {
    switch (frame.getBodyCase()) {
      case SAMPLE_DONE -> onDone(frame.getSampleDone());
      case SAMPLE_FAILED -> {
        AttemptKey attempt = SampleMapper.fromMessage(frame.getSampleFailed().getName());
        step(attempt.sample().step()).ifPresent(s -> s.onFailed(attempt));
      }
      case HELD_REPLY -> onHeld(from, frame.getHeldReply());
      default -> {
        return false;
      }
    }
    return true;
  }

  /** Tells every step that an engine's link is gone. */
  void onLinkLost(InstanceId engine) {
    steps.values().forEach(s -> s.onEngineLost(engine));
  }

  /** Returns whether this entry works at the step. */
  boolean has(StepKey key) {
    return steps.containsKey(key);
  }

  int size() {
    return steps.size();
  }

  int inFlight() {
    return steps.values().stream().mapToInt(s -> s.coordinator.inFlight()).sum();
  }

  private Optional<Step> step(StepKey key) {
    return Optional.ofNullable(steps.get(key));
  }

  private void onDone(SampleDone done) {
    FinishedSample sample = SampleMapper.fromMessage(done);
    step(sample.attempt().sample().step()).ifPresent(s -> s.onDone(sample));
  }

  private void onHeld(InstanceId from, HeldReply reply) {
    Step step = queries.get(reply.getQuery());
    if (step != null) {
      step.onHeld(from, reply);
    }
  }

  private void tick() {
    Duration now = context.clock().elapsed();
    steps.values().removeIf(s -> s.isIdleSince(now.minus(IDLE_LIMIT)));
    steps.values().forEach(Step::tick);
  }

  private final class Step implements RolloutPort {

    private final ServiceName model;
    private final StepCoordinator coordinator;
    private final List<Waiter> waiters = new ArrayList<>();
    private Duration lastRequest = Duration.ZERO;

    private record Waiter(
        CompletableFuture<StepPage> page, StepRequest request, Runnable cancelTimer) {}

    private Step(Profile profile, StepKey key) {
      this.model = profile.service();
      this.coordinator = StepCoordinator.create(this, profile.rollout(), this::engine, random);
      EventLog.info(LogEvent.STEP_STARTED, "profile", key.profile(), "step", key.step());
    }

    private CompletableFuture<StepPage> request(StepRequest request, Duration wait) {
      lastRequest = context.clock().elapsed();
      waiters.forEach(this::answer);
      waiters.clear();
      coordinator.onRequest(request, engines().size());
      CompletableFuture<StepPage> page = new CompletableFuture<>();
      Runnable cancel = context.loop().after(wait, () -> answerAll());
      waiters.add(new Waiter(page, request, cancel));
      answerIfWhole();
      return page;
    }

    private void onDone(FinishedSample sample) {
      coordinator.onDone(sample);
      answerIfWhole();
    }

    private void onFailed(AttemptKey attempt) {
      coordinator.onFailed(attempt);
    }

    private void onHeld(InstanceId from, HeldReply reply) {
      coordinator.onHeld(
          from,
          reply.getFinishedList().stream().map(SampleMapper::fromMessage).toList(),
          reply.getRunningList().stream().map(SampleMapper::fromMessage).toList());
      answerIfWhole();
    }

    private void onEngineLost(InstanceId engine) {
      coordinator.onEngineLost(engine);
    }

    private void tick() {
      coordinator.tick();
    }

    private boolean isIdleSince(Duration time) {
      return waiters.isEmpty() && lastRequest.compareTo(time) < 0;
    }

    private void answerIfWhole() {
      if (!waiters.isEmpty() && !coordinator.page().groups().isEmpty()) {
        answerAll();
      }
    }

    private void answerAll() {
      List<Waiter> now = List.copyOf(waiters);
      waiters.clear();
      now.forEach(this::answer);
    }

    private void answer(Waiter waiter) {
      waiter.cancelTimer().run();
      waiter.page().complete(coordinator.page());
    }

    private List<InstanceId> engines() {
      return context.links().directory().viewsOf(model).stream()
          .filter(v -> v.kind() == EndpointKind.ENGINE)
          .map(EndpointView::instance)
          .toList();
    }

    private Optional<InstanceId> engine() {
      RouteQuery query = new RouteQuery(model, context.zone(), Set.of(), 0);
      return context
          .router()
          .choose(query, context.links().directory().viewsOf(model))
          .map(EndpointView::instance);
    }

    @Override
    public void queryHeld(StepKey step) {
      long id = ++lastQuery;
      queries.put(id, this);
      HeldQuery query =
          HeldQuery.newBuilder()
              .setQuery(id)
              .setProfile(step.profile().value())
              .setTrainer(step.trainer().value())
              .setStep(step.step().value())
              .build();
      broadcast(LinkFrame.newBuilder().setHeldQuery(query).build());
    }

    @Override
    public void start(InstanceId engine, AttemptKey attempt, String prompt, int maxTokens) {
      SampleStart start =
          SampleStart.newBuilder()
              .setName(SampleMapper.toMessage(attempt))
              .setPrompt(prompt)
              .setMaxTokens(maxTokens)
              .setSeed(attempt.number())
              .build();
      send(engine, LinkFrame.newBuilder().setSampleStart(start).build());
    }

    @Override
    public void cancel(InstanceId engine, AttemptKey attempt) {
      SampleCancel cancel =
          SampleCancel.newBuilder().setName(SampleMapper.toMessage(attempt)).build();
      send(engine, LinkFrame.newBuilder().setSampleCancel(cancel).build());
    }

    @Override
    public void acknowledge(StepKey step, GroupCursor cursor) {
      StepAck ack =
          StepAck.newBuilder()
              .setProfile(step.profile().value())
              .setTrainer(step.trainer().value())
              .setStep(step.step().value())
              .setCursor(ByteString.copyFromUtf8(cursor.format()))
              .build();
      broadcast(LinkFrame.newBuilder().setStepAck(ack).build());
    }

    private void broadcast(LinkFrame frame) {
      engines().forEach(engine -> send(engine, frame));
    }

    private void send(InstanceId engine, LinkFrame frame) {
      Optional<Link> link = context.links().link(engine);
      link.ifPresent(l -> l.send(frame));
    }
  }
}
