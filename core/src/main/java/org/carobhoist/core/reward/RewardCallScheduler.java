package org.carobhoist.core.reward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.carobhoist.core.chart.StateChart;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.JitteredBackoff;
import org.carobhoist.core.common.Scheduler;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.RewardRequest;
import org.carobhoist.core.reward.RewardPort.Decision;
import org.carobhoist.core.routing.EndpointView;

/**
 * Schedules the reward calls of one process. Each call follows the chart {@code reward}. Calls are
 * queued in the order in which their texts were completed; {@link RewardEndpointFilter} decides
 * which endpoints may accept one. A call is retried after every failure, each time with a new
 * choice of endpoint and a longer backoff, until endpoints have answered with errors as often as
 * the route allows, the item's deadline has passed, or the score is no longer needed.
 */
public final class RewardCallScheduler {

  private final RewardPort port;
  private final RewardPolicy policy;
  private final RewardEndpointFilter endpointFilter;
  private final Clock clock;
  private final Scheduler scheduler;
  private final SplittableRandom random;
  private final Map<RewardKey, RewardCall> calls = new LinkedHashMap<>();
  private final Map<Long, RewardCall> inFlight = new HashMap<>();
  private final Map<InstanceId, Integer> ownInFlight = new HashMap<>();
  private final Set<RewardKey> queue = new LinkedHashSet<>();
  private long lastAttemptNumber;
  private boolean placementScheduled;

  private RewardCallScheduler(
      RewardPort port,
      RewardPolicy policy,
      Clock clock,
      Scheduler scheduler,
      SplittableRandom random) {
    this.port = port;
    this.policy = policy;
    this.endpointFilter = new RewardEndpointFilter(policy);
    this.clock = clock;
    this.scheduler = scheduler;
    this.random = random;
  }

  /** Creates the scheduler of a process's calls, without any calls yet. */
  public static RewardCallScheduler create(
      RewardPort port,
      RewardPolicy policy,
      Clock clock,
      Scheduler scheduler,
      SplittableRandom random) {
    return new RewardCallScheduler(port, policy, clock, scheduler, random);
  }

  /** Returns the chart of the state machine of a call. */
  public static StateChart<RewardState, RewardEvent, RewardAction> chart() {
    return RewardCall.chart();
  }

  /**
   * Starts a call for a completed text. Returns false if there is already a call for the key; only
   * that call's result is reported.
   *
   * @param timeLeft time until the item's deadline, when the call is given up
   * @param result called with the score, or empty if the call was given up; never called for a call
   *     that was ended
   */
  public boolean begin(
      RewardKey key, RewardRequest request, Duration timeLeft, Consumer<Optional<String>> result) {
    if (calls.containsKey(key)) {
      return false;
    }
    JitteredBackoff backoff =
        JitteredBackoff.create(policy.initialBackoff(), policy.maxBackoff(), random);
    RewardCall call = new RewardCall(key, request, clock.elapsed(), backoff, result, this::execute);
    calls.put(key, call);
    queue.add(key);
    call.setExpiryCanceller(scheduler.after(timeLeft, () -> fire(call, RewardEvent.EXPIRED)));
    placeQueued();
    return true;
  }

  /**
   * Called when an attempt has been answered or has failed. The answer to a cancelled attempt is
   * ignored.
   */
  public void onAnswer(long number, RewardAnswer answer) {
    RewardCall call = inFlight.remove(number);
    if (call == null) {
      return;
    }
    ownInFlight.merge(call.endpoint(), -1, Integer::sum);
    if (answer instanceof RewardAnswer.Score s) {
      call.onScore(s.value());
      fire(call, RewardEvent.SCORE);
    } else {
      onFailedAttempt(call, answer);
    }
    placeQueued();
  }

  /** Ends the call for an item whose result has already been published. */
  public void end(RewardKey key) {
    RewardCall call = calls.get(key);
    if (call != null) {
      fire(call, RewardEvent.UNWANTED);
      placeQueued();
    }
  }

  /** Ends all calls of a job that has ended. */
  public void end(JobId job) {
    List.copyOf(calls.keySet()).stream().filter(k -> k.job().equals(job)).forEach(this::end);
  }

  /** Returns the number of calls that have not ended. */
  public int size() {
    return calls.size();
  }

  /** Returns the number of calls that are queued for a free slot. */
  public int waiting() {
    return queue.size();
  }

  private void onFailedAttempt(RewardCall call, RewardAnswer answer) {
    int maxErrors =
        port.destination(call.request())
            .map(RewardPort.Destination::maxAttempts)
            .orElse(Integer.MAX_VALUE);
    boolean ownError = answer instanceof RewardAnswer.EndpointError;
    String why =
        answer instanceof RewardAnswer.Failure f ? f.why() : "the endpoint answered with an error";
    int errors = ownError ? call.countEndpointError() : 0;
    call.countFailure();
    logDecision(Decision.FAILED, call, "why", why);
    fire(call, ownError && errors >= maxErrors ? RewardEvent.ERRORS_USED_UP : RewardEvent.FAILURE);
  }

  private void fire(RewardCall call, RewardEvent event) {
    if (call.isDone()) {
      return;
    }
    call.fire(event);
    if (call.isDone()) {
      calls.remove(call.key());
      queue.remove(call.key());
      call.cancelExpiry();
    }
  }

  private void execute(RewardCall call, RewardAction action) {
    switch (action) {
      case SEND -> send(call);
      case CANCEL -> cancel(call);
      case PAUSE -> scheduler.after(call.nextBackoff(), () -> fire(call, RewardEvent.TIMER));
      case QUEUE -> {
        call.onQueued(clock.elapsed());
        queue.add(call.key());
        placeQueued();
      }
      case HAND_ON -> {
        logDecision(Decision.SCORED, call);
        call.deliverScore();
      }
      case GIVE_UP -> {
        logDecision(Decision.GIVEN_UP, call);
        call.giveUp();
      }
    }
  }

  private void send(RewardCall call) {
    inFlight.put(call.attemptNumber(), call);
    ownInFlight.merge(call.endpoint(), 1, Integer::sum);
    port.send(
        call.attemptNumber(),
        call.service(),
        call.endpoint(),
        call.request(),
        call.attemptTimeout(policy));
  }

  private void cancel(RewardCall call) {
    inFlight.remove(call.attemptNumber());
    ownInFlight.merge(call.endpoint(), -1, Integer::sum);
    port.cancel(call.attemptNumber());
  }

  /**
   * Sends the queued calls for which an endpoint has a free slot; schedules another run while calls
   * remain queued.
   */
  private void placeQueued() {
    boolean hasRoute = false;
    for (RewardKey key : List.copyOf(queue)) {
      RewardCall call = calls.get(key);
      if (queue.contains(key) && assignEndpoint(call)) {
        queue.remove(key);
        fire(call, RewardEvent.PLACED);
      } else if (call != null) {
        hasRoute |= !call.isRouteMissing();
      }
    }
    if (!queue.isEmpty() && !placementScheduled) {
      placementScheduled = true;
      scheduler.after(
          hasRoute ? policy.placementInterval() : policy.maxBackoff(),
          () -> {
            placementScheduled = false;
            placeQueued();
          });
    }
  }

  private boolean assignEndpoint(RewardCall call) {
    Optional<RewardPort.Destination> destination = port.destination(call.request());
    if (destination.isEmpty()) {
      if (call.markRouteMissing()) {
        logDecision(
            Decision.FAILED, call, "why", "no route matches the host and path of the scorer");
      }
      return false;
    }
    boolean canWait = clock.elapsed().minus(call.queuedSince()).compareTo(policy.maxLoadWait()) < 0;
    ServiceName service = destination.get().service();
    List<EndpointView> candidates =
        endpointFilter.eligible(port.endpoints(service), this::hasOwnCapacity, canWait);
    Optional<InstanceId> chosen = port.choose(service, candidates, call.failedAt());
    chosen.ifPresent(endpoint -> call.onPlaced(++lastAttemptNumber, service, endpoint));
    return chosen.isPresent();
  }

  private boolean hasOwnCapacity(EndpointView e) {
    return ownInFlight.getOrDefault(e.instance(), 0) < policy.callsPerEndpoint();
  }

  private void logDecision(Decision decision, RewardCall call, Object... extraFields) {
    List<Object> fields = new ArrayList<>();
    fields.addAll(
        List.of(
            "call",
            call.request().id(),
            "endpoint",
            call.endpoint() == null ? "" : call.endpoint(),
            "failures",
            call.failures(),
            "ms",
            clock.elapsed().minus(call.startedAt()).toMillis()));
    fields.addAll(List.of(extraFields));
    port.logDecision(decision, call.key(), fields.toArray());
  }
}
