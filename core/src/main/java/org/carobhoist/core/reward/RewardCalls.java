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
 * queued in the order in which their texts were completed; {@link RewardPlacer} decides which
 * endpoints may accept one. A call is retried after every failure, each time with a new choice of
 * endpoint and a longer backoff, until endpoints have answered with errors as often as the route
 * allows, the item's deadline has passed, or the score is no longer needed.
 */
public final class RewardCalls {

  private final RewardPort port;
  private final RewardPolicy policy;
  private final RewardPlacer placer;
  private final Clock clock;
  private final Scheduler scheduler;
  private final SplittableRandom random;
  private final Map<RewardKey, RewardCall> calls = new LinkedHashMap<>();
  private final Map<Long, RewardCall> sent = new HashMap<>();
  private final Map<InstanceId, Integer> own = new HashMap<>();
  private final Set<RewardKey> queue = new LinkedHashSet<>();
  private long lastNumber;
  private boolean looking;

  private RewardCalls(
      RewardPort port,
      RewardPolicy policy,
      Clock clock,
      Scheduler scheduler,
      SplittableRandom random) {
    this.port = port;
    this.policy = policy;
    this.placer = new RewardPlacer(policy);
    this.clock = clock;
    this.scheduler = scheduler;
    this.random = random;
  }

  /** Creates the scheduler of a process's calls, without any calls yet. */
  public static RewardCalls create(
      RewardPort port,
      RewardPolicy policy,
      Clock clock,
      Scheduler scheduler,
      SplittableRandom random) {
    return new RewardCalls(port, policy, clock, scheduler, random);
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
    JitteredBackoff pauses =
        JitteredBackoff.create(policy.firstPause(), policy.longestPause(), random);
    RewardCall call = new RewardCall(key, request, clock.elapsed(), pauses, result, this::act);
    calls.put(key, call);
    queue.add(key);
    call.expireWith(scheduler.after(timeLeft, () -> fire(call, RewardEvent.EXPIRED)));
    place();
    return true;
  }

  /**
   * Called when an attempt has been answered or has failed. The answer to a cancelled attempt is
   * ignored.
   */
  public void onAnswer(long number, RewardAnswer answer) {
    RewardCall call = sent.remove(number);
    if (call == null) {
      return;
    }
    own.merge(call.endpoint(), -1, Integer::sum);
    if (answer instanceof RewardAnswer.Score s) {
      call.onScore(s.value());
      fire(call, RewardEvent.SCORE);
    } else {
      onFailure(call, answer);
    }
    place();
  }

  /** Ends the call for an item whose result has already been listed. */
  public void end(RewardKey key) {
    RewardCall call = calls.get(key);
    if (call != null) {
      fire(call, RewardEvent.UNWANTED);
      place();
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

  private void onFailure(RewardCall call, RewardAnswer answer) {
    int most = port.way(call.request()).map(RewardPort.Way::maxAttempts).orElse(Integer.MAX_VALUE);
    boolean ownError = answer instanceof RewardAnswer.OwnError;
    String why =
        answer instanceof RewardAnswer.Failure f ? f.why() : "the endpoint answered with an error";
    int errors = ownError ? call.countError() : 0;
    call.countFailure();
    note(Decision.FAILED, call, "why", why);
    fire(call, ownError && errors >= most ? RewardEvent.ERRORS_USED_UP : RewardEvent.FAILURE);
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

  private void act(RewardCall call, RewardAction action) {
    switch (action) {
      case SEND -> send(call);
      case CANCEL -> cancel(call);
      case PAUSE -> scheduler.after(call.nextPause(), () -> fire(call, RewardEvent.TIMER));
      case QUEUE -> {
        call.onAwaited(clock.elapsed());
        queue.add(call.key());
        place();
      }
      case HAND_ON -> {
        note(Decision.SCORED, call);
        call.handOn();
      }
      case GIVE_UP -> {
        note(Decision.GIVEN_UP, call);
        call.giveUp();
      }
    }
  }

  private void send(RewardCall call) {
    sent.put(call.number(), call);
    own.merge(call.endpoint(), 1, Integer::sum);
    port.send(call.number(), call.service(), call.endpoint(), call.request(), call.tryTime(policy));
  }

  private void cancel(RewardCall call) {
    sent.remove(call.number());
    own.merge(call.endpoint(), -1, Integer::sum);
    port.cancel(call.number());
  }

  /**
   * Sends the queued calls for which an endpoint has a free slot; schedules another run while calls
   * remain queued.
   */
  private void place() {
    boolean hasWay = false;
    for (RewardKey key : List.copyOf(queue)) {
      RewardCall call = calls.get(key);
      if (queue.contains(key) && findPlace(call)) {
        queue.remove(key);
        fire(call, RewardEvent.PLACED);
      } else if (call != null) {
        hasWay |= !call.isWithoutWay();
      }
    }
    if (!queue.isEmpty() && !looking) {
      looking = true;
      scheduler.after(
          hasWay ? policy.placePeriod() : policy.longestPause(),
          () -> {
            looking = false;
            place();
          });
    }
  }

  private boolean findPlace(RewardCall call) {
    Optional<RewardPort.Way> way = port.way(call.request());
    if (way.isEmpty()) {
      if (call.noteNoWay()) {
        note(Decision.FAILED, call, "why", "no route matches the host and path of the scorer");
      }
      return false;
    }
    boolean patient = clock.elapsed().minus(call.awaitedSince()).compareTo(policy.patience()) < 0;
    ServiceName service = way.get().service();
    List<EndpointView> open = placer.open(port.endpoints(service), this::hasOwnPlace, patient);
    Optional<InstanceId> chosen = port.choose(service, open, call.failedAt());
    chosen.ifPresent(endpoint -> call.onPlaced(++lastNumber, service, endpoint));
    return chosen.isPresent();
  }

  private boolean hasOwnPlace(EndpointView e) {
    return own.getOrDefault(e.instance(), 0) < policy.callsPerEndpoint();
  }

  private void note(Decision decision, RewardCall call, Object... more) {
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
            clock.elapsed().minus(call.begunAt()).toMillis()));
    fields.addAll(List.of(more));
    port.note(decision, call.key(), fields.toArray());
  }
}
