package org.carobhoist.server.entry;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.profile.Profile;
import org.carobhoist.core.rollout.AttemptKey;
import org.carobhoist.core.rollout.AttemptOrder;
import org.carobhoist.core.rollout.EngineShares;
import org.carobhoist.core.rollout.EngineView;
import org.carobhoist.core.rollout.GroupCursor;
import org.carobhoist.core.rollout.RolloutPort;
import org.carobhoist.core.rollout.StepCoordinator;
import org.carobhoist.core.rollout.StepKey;
import org.carobhoist.core.rollout.StepPage;
import org.carobhoist.core.rollout.StepRequest;
import org.carobhoist.core.rollout.TrainerPace;
import org.carobhoist.core.routing.EndpointView;
import org.carobhoist.server.link.SampleMapper;
import org.carobhoist.server.link.proto.HeldQuery;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.link.proto.SampleCancel;
import org.carobhoist.server.link.proto.StepAck;

/**
 * A step that this entry coordinates: the {@link StepCoordinator}, whose orders are sent over the
 * links to the sidecars, and the trainer's requests that wait for a page.
 */
final class ActiveStep implements RolloutPort {

  private final CallContext context;
  private final EngineShares shares;
  private final Profile profile;
  private final StepKey key;
  private final StepCoordinator coordinator;
  private final List<Waiter> waiters = new ArrayList<>();
  private Duration lastRequestAt = Duration.ZERO;

  private record Waiter(CompletableFuture<StepPage> page, Runnable cancelTimer) {}

  ActiveStep(
      CallContext context,
      EngineShares shares,
      Profile profile,
      StepKey key,
      TrainerPace pace,
      RandomGenerator random) {
    this.context = context;
    this.shares = shares;
    this.profile = profile;
    this.key = key;
    this.coordinator =
        StepCoordinator.create(this, profile.rollout(), context.clock(), pace, random);
  }

  StepKey key() {
    return key;
  }

  Profile profile() {
    return profile;
  }

  StepCoordinator coordinator() {
    return coordinator;
  }

  /**
   * Handles a trainer's request. Earlier requests that still wait are answered first, with the
   * current page.
   *
   * @return the page, as soon as a group is complete or {@code wait} has passed; at once if the
   *     request ends the step
   */
  CompletableFuture<StepPage> request(StepRequest request, Duration wait) {
    lastRequestAt = context.clock().elapsed();
    answerWaiters();
    coordinator.onRequest(request);
    CompletableFuture<StepPage> page = new CompletableFuture<>();
    if (request.isComplete()) {
      page.complete(coordinator.page());
      return page;
    }
    waiters.add(new Waiter(page, context.loop().after(wait, this::answerWaiters)));
    answerWaitersIfGroupComplete();
    return page;
  }

  /** Passes an event to the coordinator; answers the waiting requests if a group is complete. */
  void onEvent(Consumer<StepCoordinator> event) {
    if (!waiters.isEmpty()) {
      coordinator.onTrainerStillWaiting();
    }
    event.accept(coordinator);
    answerWaitersIfGroupComplete();
  }

  /** Returns the time of the trainer's last request, as elapsed time of the clock. */
  Duration lastRequestAt() {
    return lastRequestAt;
  }

  /** Returns whether any request waits for a page. */
  boolean hasWaiters() {
    return !waiters.isEmpty();
  }

  boolean isIdleSince(Duration time) {
    return waiters.isEmpty() && lastRequestAt.compareTo(time) < 0;
  }

  /** Answers all waiting requests with the current page, even if no group is complete. */
  void answerWaiters() {
    List<Waiter> answered = List.copyOf(waiters);
    waiters.clear();
    for (Waiter w : answered) {
      w.cancelTimer().run();
      w.page().complete(coordinator.page());
    }
  }

  private void answerWaitersIfGroupComplete() {
    if (!waiters.isEmpty() && coordinator.hasCompleteGroup()) {
      answerWaiters();
    }
  }

  @Override
  public List<EngineView> engines() {
    EngineShares.Windows windows = shares.windowsOf(key);
    return context.links().directory().viewsOf(profile.service()).stream()
        .filter(v -> v.kind() == EndpointKind.ENGINE && v.usable())
        .map(v -> engineView(v, windows))
        .toList();
  }

  private static EngineView engineView(EndpointView v, EngineShares.Windows windows) {
    return new EngineView(v.instance(), v.version(), windows.at(v.instance(), v.limit()));
  }

  @Override
  public void queryHeld(InstanceId engine, StepKey step, long query, List<AttemptKey> attempts) {
    HeldQuery message =
        HeldQuery.newBuilder()
            .setQuery(query)
            .setProfile(step.profile().value())
            .setTrainer(step.trainer().value())
            .setStep(step.step().value())
            .addAllAttempts(attempts.stream().map(SampleMapper::toMessage).toList())
            .build();
    send(engine, LinkFrame.newBuilder().setHeldQuery(message).build());
  }

  @Override
  public void start(InstanceId engine, AttemptOrder order) {
    send(engine, LinkFrame.newBuilder().setSampleStart(SampleMapper.toMessage(order)).build());
  }

  @Override
  public void cancel(InstanceId engine, AttemptKey attempt, boolean handBack) {
    SampleCancel message =
        SampleCancel.newBuilder()
            .setName(SampleMapper.toMessage(attempt))
            .setHandBack(handBack)
            .build();
    send(engine, LinkFrame.newBuilder().setSampleCancel(message).build());
  }

  @Override
  public void acknowledge(InstanceId engine, StepKey step, GroupCursor cursor, boolean finished) {
    StepAck message =
        StepAck.newBuilder()
            .setProfile(step.profile().value())
            .setTrainer(step.trainer().value())
            .setStep(step.step().value())
            .setCursor(ByteString.copyFromUtf8(cursor.format()))
            .setFinished(finished)
            .build();
    send(engine, LinkFrame.newBuilder().setStepAck(message).build());
  }

  private void send(InstanceId engine, LinkFrame frame) {
    context.links().link(engine).ifPresent(link -> link.send(frame));
  }
}
