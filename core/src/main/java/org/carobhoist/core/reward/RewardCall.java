package org.carobhoist.core.reward;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.carobhoist.core.chart.ChartReader;
import org.carobhoist.core.chart.StateChart;
import org.carobhoist.core.chart.StateMachine;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.JitteredBackoff;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.job.RewardRequest;

/** One reward call with its state machine and the results of its attempts. */
final class RewardCall {

  private static final StateChart<RewardState, RewardEvent, RewardAction> CHART =
      ChartReader.readResource("reward", RewardState.class, RewardEvent.class, RewardAction.class);

  /** Factor by which the timeout of an attempt grows with each failure. */
  private static final double TIMEOUT_GROWTH_FACTOR = 1.5;

  private final RewardKey key;
  private final RewardRequest request;
  private final Duration startedAt;
  private final JitteredBackoff backoff;
  private final Consumer<Optional<String>> result;
  private final StateMachine<RewardState, RewardEvent, RewardAction> stateMachine;
  private final Set<InstanceId> failedAt = new HashSet<>();
  private Duration queuedSince;
  private int endpointErrors;
  private int failures;
  private long attemptNumber;
  private ServiceName service;
  private InstanceId endpoint;
  private String score = "";
  private boolean routeMissing;
  private Runnable cancelExpiry = () -> {};

  /**
   * Creates a call that is queued for a free slot at an endpoint.
   *
   * @param result called with the score, or empty if there will be none
   * @param handler executes the chart's actions for a call
   */
  RewardCall(
      RewardKey key,
      RewardRequest request,
      Duration now,
      JitteredBackoff backoff,
      Consumer<Optional<String>> result,
      ActionHandler handler) {
    this.key = key;
    this.request = request;
    this.startedAt = now;
    this.queuedSince = now;
    this.backoff = backoff;
    this.result = result;
    this.stateMachine = StateMachine.start(CHART, action -> handler.execute(this, action));
  }

  /** Executes the actions of the state machine. */
  @FunctionalInterface
  interface ActionHandler {
    void execute(RewardCall call, RewardAction action);
  }

  static StateChart<RewardState, RewardEvent, RewardAction> chart() {
    return CHART;
  }

  void fire(RewardEvent event) {
    stateMachine.fire(event);
  }

  RewardState state() {
    return stateMachine.state();
  }

  boolean isDone() {
    return stateMachine.isDone();
  }

  /** Sets the task that cancels the timer for the item's deadline. */
  void setExpiryCanceller(Runnable handle) {
    cancelExpiry = handle;
  }

  void cancelExpiry() {
    cancelExpiry.run();
  }

  RewardKey key() {
    return key;
  }

  RewardRequest request() {
    return request;
  }

  Duration startedAt() {
    return startedAt;
  }

  Duration queuedSince() {
    return queuedSince;
  }

  /** Called when the call is queued again after a backoff. */
  void onQueued(Duration now) {
    queuedSince = now;
  }

  /** Called when an endpoint was chosen for the next attempt. */
  void onPlaced(long newAttemptNumber, ServiceName newService, InstanceId newEndpoint) {
    attemptNumber = newAttemptNumber;
    service = newService;
    endpoint = newEndpoint;
    routeMissing = false;
  }

  /** Returns the number of the last attempt; 0 before the first. */
  long attemptNumber() {
    return attemptNumber;
  }

  ServiceName service() {
    return service;
  }

  InstanceId endpoint() {
    return endpoint;
  }

  /** Returns the endpoints at which attempts have failed. */
  Set<InstanceId> failedAt() {
    return failedAt;
  }

  int failures() {
    return failures;
  }

  /** Counts a failed attempt. */
  void countFailure() {
    failures++;
    failedAt.add(endpoint);
  }

  /** Counts an error returned by an endpoint; returns the number of them so far. */
  int countEndpointError() {
    return ++endpointErrors;
  }

  /** Records that no route matches the call; returns whether that is new. */
  boolean markRouteMissing() {
    boolean wasMissing = routeMissing;
    routeMissing = true;
    return !wasMissing;
  }

  boolean isRouteMissing() {
    return routeMissing;
  }

  Duration nextBackoff() {
    return backoff.nextDelay();
  }

  Duration attemptTimeout(RewardPolicy policy) {
    double millis = policy.initialTimeout().toMillis() * Math.pow(TIMEOUT_GROWTH_FACTOR, failures);
    return Duration.ofMillis((long) Math.min(policy.maxTimeout().toMillis(), millis));
  }

  /** Called when an endpoint has returned the score. */
  void onScore(String value) {
    score = value;
  }

  void deliverScore() {
    result.accept(Optional.of(score));
  }

  void giveUp() {
    result.accept(Optional.empty());
  }
}
