package org.carobhoist.server.sidecar;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.Priority;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.limit.AdmissionQueue;
import org.carobhoist.core.limit.AdmissionTicket;
import org.carobhoist.core.rollout.AttemptKey;
import org.carobhoist.core.rollout.AttemptOrder;
import org.carobhoist.core.rollout.FinishedSample;
import org.carobhoist.core.rollout.GroupCursor;
import org.carobhoist.core.rollout.SampleStore;
import org.carobhoist.core.rollout.StepKey;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.SampleMapper;
import org.carobhoist.server.link.proto.HeldQuery;
import org.carobhoist.server.link.proto.HeldReply;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.link.proto.SampleCancel;
import org.carobhoist.server.link.proto.SampleStart;
import org.carobhoist.server.link.proto.StepAck;
import org.carobhoist.server.runtime.DecisionLoop;

/** Generates samples at the engine and keeps them until their trainer has acknowledged them. */
final class SampleWorker {

  private static final Duration REPORT_PERIOD = Duration.ofSeconds(1);

  private final AdmissionQueue queue;
  private final EndpointClient engine;
  private final ServiceName model;
  private final TicketIds ticketIds;
  private final SampleStore store;
  private final SampleScorer scorer;
  private final Map<AttemptKey, SampleAttempt> attempts = new HashMap<>();

  SampleWorker(
      AdmissionQueue queue,
      EndpointClient engine,
      ServiceName model,
      TicketIds ticketIds,
      Clock clock,
      DecisionLoop loop) {
    this.queue = queue;
    this.engine = engine;
    this.model = model;
    this.ticketIds = ticketIds;
    this.store = SampleStore.create(clock);
    this.scorer = SampleScorer.create(loop);
    loop.every(REPORT_PERIOD, this::report);
  }

  /**
   * Called when an entry orders a sample. A repeated order starts nothing; it only adds the entry
   * to the listeners if the attempt is still running.
   */
  void onStart(Link link, SampleStart start) {
    AttemptOrder order = SampleMapper.fromMessage(start);
    AttemptKey key = order.attempt();
    if (!store.begin(key)) {
      Optional.ofNullable(attempts.get(key)).ifPresent(a -> a.addListener(link));
      return;
    }
    SampleAttempt attempt =
        new SampleAttempt(order, model, engine, ticketIds.next(), new AttemptCallbacks());
    attempt.addListener(link);
    attempts.put(key, attempt);
    queue.offer(
        new AdmissionTicket(
            attempt.ticket(),
            Priority.ROLLOUT,
            tenant(key.sample().step()),
            Optional.empty(),
            attempt::run,
            attempt::onFailed));
  }

  /** Called when an entry cancels an attempt. */
  void onCancel(SampleCancel cancel) {
    AttemptKey key = SampleMapper.fromMessage(cancel.getName());
    Optional.ofNullable(attempts.get(key)).ifPresent(a -> a.cancel(cancel.getHandBack()));
  }

  /**
   * Called when an entry queries the samples of a step that are held here. Replies with them and
   * adds the entry to the listeners of the running attempts.
   */
  void onQuery(Link link, HeldQuery query) {
    StepKey step = SampleMapper.stepKey(query.getProfile(), query.getTrainer(), query.getStep());
    Set<AttemptKey> requested =
        query.getAttemptsList().stream().map(SampleMapper::fromMessage).collect(Collectors.toSet());
    HeldReply.Builder reply =
        HeldReply.newBuilder()
            .setQuery(query.getQuery())
            .setProfile(query.getProfile())
            .setTrainer(query.getTrainer())
            .setStep(query.getStep());
    for (FinishedSample sample : store.finished(step)) {
      if (requested.isEmpty() || requested.contains(sample.attempt())) {
        reply.addFinished(SampleMapper.toMessage(sample));
      }
    }
    for (AttemptKey key : store.running(step)) {
      if (requested.isEmpty() || requested.contains(key)) {
        SampleAttempt attempt = attempts.get(key);
        attempt.addListener(link);
        reply.addRunning(SampleMapper.toMessage(attempt.progress()));
      }
    }
    link.send(LinkFrame.newBuilder().setHeldReply(reply).build());
  }

  /**
   * Called when a trainer has acknowledged samples of a step. Drops these, or the whole step if the
   * trainer has finished it, and cancels the attempts that are no longer needed.
   */
  void onAck(StepAck ack) {
    StepKey step = SampleMapper.stepKey(ack.getProfile(), ack.getTrainer(), ack.getStep());
    GroupCursor cursor = GroupCursor.parse(ack.getCursor().toStringUtf8());
    cancelAll(ack.getFinished() ? store.forget(step) : store.acknowledge(step, cursor));
  }

  /** Called when a link is lost; removes it from the listeners of all attempts. */
  void onLinkDown(Link link) {
    attempts.values().forEach(a -> a.removeListener(link));
  }

  /** Returns the number of attempts and samples held. */
  int held() {
    return store.size();
  }

  /** Returns the admission tenant: each trainer gets its own share under its profile's policy. */
  private static String tenant(StepKey step) {
    return step.profile() + " " + step.trainer();
  }

  private void report() {
    attempts.values().forEach(SampleAttempt::report);
    cancelAll(store.expire());
  }

  private void cancelAll(List<AttemptKey> obsolete) {
    for (AttemptKey key : obsolete) {
      Optional.ofNullable(attempts.get(key)).ifPresent(a -> a.cancel(false));
    }
  }

  /** Callbacks by which attempts report their end to the worker. */
  final class AttemptCallbacks {

    /**
     * Called when the engine's stream is complete. Requests a score first if the order names a
     * scorer, then stores the sample.
     */
    void onStreamComplete(SampleAttempt attempt, FinishedSample sample) {
      queue.complete(attempt.ticket());
      if (attempt.order().scorer().isEmpty()) {
        finishSample(attempt, sample);
        return;
      }
      scorer.score(
          attempt.order().scorer().get(),
          attempt.order().prompt(),
          sample,
          () -> attempts.get(sample.attempt()) == attempt,
          score -> finishSample(attempt, sample.withScore(score)));
    }

    /** Called when an attempt ends without a sample. */
    void onAbandoned(SampleAttempt attempt) {
      attempts.remove(attempt.order().attempt(), attempt);
      store.drop(attempt.order().attempt());
      if (!queue.withdraw(attempt.ticket())) {
        queue.fail(attempt.ticket());
      }
    }

    private void finishSample(SampleAttempt attempt, FinishedSample sample) {
      attempts.remove(sample.attempt(), attempt);
      store.finish(sample);
      attempt.broadcast(
          LinkFrame.newBuilder().setSampleDone(SampleMapper.toMessage(sample)).build());
    }
  }
}
