package org.carobhoist.core.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Priority;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.limit.AdmissionTicket;
import org.carobhoist.core.membership.EndpointAnnouncement;
import org.carobhoist.core.membership.EndpointDirectory;
import org.carobhoist.core.request.RequestEvent;
import org.carobhoist.core.request.RequestPort;
import org.carobhoist.core.request.RequestStateMachine;
import org.carobhoist.core.request.RetryBudget;
import org.carobhoist.core.request.RetryPolicy;
import org.carobhoist.core.routing.EndpointView;
import org.carobhoist.core.routing.PromptPrefix;
import org.carobhoist.core.routing.RouteQuery;
import org.carobhoist.core.routing.Router;
import org.carobhoist.core.routing.RouterPolicy;
import org.carobhoist.core.testing.EventQueue;

/**
 * An entry that runs the real router, directory, request chart and retry budget over a simulated
 * network.
 */
final class SimulatedEntry {

  private static final Duration NETWORK_DELAY = Duration.ofNanos(500_000);

  private final Mode mode;
  private final Zone zone;
  private final Map<InstanceId, SimulatedEndpoint> endpoints = new HashMap<>();
  private final List<InstanceId> endpointIds = new ArrayList<>();
  private final Clock clock;
  private final EventQueue events;
  private final TrafficResult result;
  private final EndpointDirectory directory = EndpointDirectory.create();
  private final Router router;
  private final RetryBudget budget = RetryBudget.create(0.1, 20);
  private final List<Call> activeCalls = new ArrayList<>();
  private int roundRobinIndex;

  /** Request handling features that are enabled. */
  enum Mode {
    /** Round robin with one attempt and no admission limit. */
    ROUND_ROBIN(false, false, 1),
    /** All features except prefix affinity. */
    WITHOUT_AFFINITY(true, false, 3),
    /** All features. */
    FULL(true, true, 3);

    private final boolean managed;
    private final boolean prefixAffinity;
    private final int attempts;

    Mode(boolean managed, boolean prefixAffinity, int attempts) {
      this.managed = managed;
      this.prefixAffinity = prefixAffinity;
      this.attempts = attempts;
    }
  }

  /**
   * One request.
   *
   * @param id sequence number
   * @param prefix id of its prompt prefix, if it has one
   * @param work processing time in seconds on a worker of its own
   * @param missWork additional processing time in seconds if the prefix isn't cached
   * @param deadline maximum time until the answer, from the start
   * @param counted whether it is included in the result
   */
  record Request(
      long id,
      Optional<Long> prefix,
      double work,
      double missWork,
      Duration deadline,
      boolean counted) {}

  SimulatedEntry(
      Mode mode,
      Zone zone,
      List<SimulatedEndpoint> all,
      Clock clock,
      EventQueue events,
      SplittableRandom random,
      TrafficResult result) {
    this.mode = mode;
    this.zone = zone;
    this.clock = clock;
    this.events = events;
    this.result = result;
    this.router = Router.create(random, clock, RouterPolicy.DEFAULT);
    for (SimulatedEndpoint e : all) {
      endpoints.put(e.id(), e);
      endpointIds.add(e.id());
    }
  }

  void onAnnouncement(EndpointAnnouncement a) {
    events.after(NETWORK_DELAY, () -> directory.onAnnouncement(a));
  }

  void onLinkLost(InstanceId endpoint) {
    directory.onLinkLost(endpoint);
    List.copyOf(activeCalls).stream()
        .filter(c -> endpoint.equals(c.endpointId))
        .forEach(Call::onLinkLost);
  }

  void start(Request request) {
    if (request.counted()) {
      result.onOffered();
    }
    Call call = new Call(request);
    activeCalls.add(call);
    events.after(request.deadline(), call.run::onDeadline);
    call.run.start();
  }

  private final class Call implements RequestPort {
    private final Request request;
    private final Duration startedAt = clock.elapsed();
    private final RequestStateMachine run;
    private InstanceId endpointId;
    private Duration sentAt;

    private Call(Request request) {
      this.request = request;
      this.run = RequestStateMachine.create(this, new RetryPolicy(mode.attempts), budget, true);
    }

    @Override
    public Optional<InstanceId> choose(Set<InstanceId> excluded) {
      if (!mode.managed) {
        roundRobinIndex++;
        return Optional.of(endpointIds.get(roundRobinIndex % endpointIds.size()));
      }
      PromptPrefix prefix =
          mode.prefixAffinity && request.prefix().isPresent()
              ? new PromptPrefix(List.of(request.prefix().get()))
              : PromptPrefix.NONE;
      RouteQuery query = new RouteQuery(TrafficSimulation.SERVICE, zone, excluded, prefix);
      return router.choose(query, directory.views()).map(EndpointView::instance);
    }

    @Override
    public void send(InstanceId to, int attempt) {
      endpointId = to;
      sentAt = clock.elapsed();
      directory.onRequestStarted(to);
      run.onAttemptEvent(attempt, RequestEvent.WRITTEN);
      events.after(NETWORK_DELAY, () -> onStartMessage(endpoints.get(to), attempt));
    }

    @Override
    public void cancel(InstanceId from, int attempt) {
      release();
      events.after(NETWORK_DELAY, () -> abortAttempt(endpoints.get(from), attempt));
    }

    @Override
    public void passHead() {
      router.onSuccess(TrafficSimulation.SERVICE, endpointId, clock.elapsed().minus(sentAt));
    }

    @Override
    public void finish() {
      release();
      activeCalls.remove(this);
      if (request.counted()) {
        result.onCompleted(clock.elapsed().minus(startedAt));
      }
    }

    @Override
    public void refuse(Refusal refusal) {
      release();
      activeCalls.remove(this);
      if (request.counted()) {
        result.onRefused(refusal);
      }
    }

    @Override
    public void abort(Refusal refusal) {
      refuse(refusal);
    }

    private void onLinkLost() {
      router.onFailure(TrafficSimulation.SERVICE, endpointId);
      release();
      run.onAttemptEvent(run.attempt(), RequestEvent.LINK_LOST);
    }

    /** Handles the start message at the sidecar; a dead endpoint never responds. */
    private void onStartMessage(SimulatedEndpoint endpoint, int attempt) {
      if (endpoint.isDead()) {
        return;
      }
      if (!mode.managed) {
        startOnEndpoint(endpoint, attempt);
        return;
      }
      Duration deadline = startedAt.plus(request.deadline());
      endpoint
          .queue()
          .offer(
              new AdmissionTicket(
                  ticket(attempt),
                  Priority.INTERACTIVE,
                  "horno",
                  Optional.of(deadline),
                  () -> startOnEndpoint(endpoint, attempt),
                  refusal -> events.after(NETWORK_DELAY, () -> onRefused(attempt, refusal))));
    }

    private void startOnEndpoint(SimulatedEndpoint endpoint, int attempt) {
      boolean hit = endpoint.addToCache(request.prefix());
      boolean miss = request.prefix().isPresent() && !hit;
      if (request.counted() && request.prefix().isPresent()) {
        result.onCacheLookup(hit);
      }
      double work = request.work() + (miss ? request.missWork() : 0);
      endpoint.run(ticket(attempt), work, () -> onDone(endpoint, attempt));
    }

    private void onDone(SimulatedEndpoint endpoint, int attempt) {
      endpoint.queue().complete(ticket(attempt));
      int load = endpoint.queue().running() + endpoint.queue().queued();
      events.after(
          NETWORK_DELAY,
          () -> {
            directory.onLoad(endpoint.id(), load);
            run.onAttemptEvent(attempt, RequestEvent.HEAD);
            run.onAttemptEvent(attempt, RequestEvent.END);
          });
    }

    private void onRefused(int attempt, Refusal refusal) {
      if (attempt == run.attempt()) {
        release();
      }
      run.onRefused(attempt, refusal);
    }

    private void abortAttempt(SimulatedEndpoint endpoint, int attempt) {
      if (!endpoint.queue().withdraw(ticket(attempt))) {
        endpoint.abort(ticket(attempt));
        endpoint.queue().fail(ticket(attempt));
      }
    }

    private void release() {
      if (endpointId != null) {
        directory.onRequestEnded(endpointId);
        endpointId = null;
      }
    }

    private long ticket(int attempt) {
      return request.id() * 10 + attempt;
    }
  }
}
