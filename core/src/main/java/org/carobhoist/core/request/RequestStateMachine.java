package org.carobhoist.core.request;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.carobhoist.core.chart.ChartReader;
import org.carobhoist.core.chart.StateChart;
import org.carobhoist.core.chart.StateMachine;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;
import org.carobhoist.core.common.Verdict;

/**
 * State machine of one request at an entry or gateway, from its arrival to its final response. It
 * executes the state chart {@code request}: selects an endpoint, sends the request, and decides
 * after a failed attempt whether to retry. The verdict that the caller receives is the worst one
 * over all attempts: once an attempt may have run, the caller is never told that the request did
 * not run. Events of earlier attempts are dropped.
 */
public final class RequestStateMachine {

  private static final StateChart<RequestState, RequestEvent, RequestAction> CHART =
      ChartReader.readResource(
          "request", RequestState.class, RequestEvent.class, RequestAction.class);

  private final RequestPort port;
  private final RetryPolicy policy;
  private final RetryBudget budget;
  private final RetryRule retryRule;
  private final boolean idempotent;
  private final StateMachine<RequestState, RequestEvent, RequestAction> stateMachine;
  private final Set<InstanceId> triedEndpoints = new HashSet<>();
  private Verdict worstVerdict = Verdict.NOT_RUN;
  private Refusal lastRefusal = Refusal.notRun(RefusalReason.NO_ENDPOINT, "no endpoint is usable");
  private InstanceId endpoint;
  private int attempt;

  RequestStateMachine(
      RequestPort port,
      RetryPolicy policy,
      RetryBudget budget,
      boolean idempotent,
      StateChart<RequestState, RequestEvent, RequestAction> chart,
      RetryRule retryRule) {
    this.port = port;
    this.policy = policy;
    this.budget = budget;
    this.idempotent = idempotent;
    this.retryRule = retryRule;
    this.stateMachine = StateMachine.start(chart, this::perform);
  }

  /** Returns a request that has not been started. */
  public static RequestStateMachine create(
      RequestPort port, RetryPolicy policy, RetryBudget budget, boolean idempotent) {
    return new RequestStateMachine(port, policy, budget, idempotent, CHART, Verdict::allowsRetry);
  }

  /** Returns the state chart of all requests. */
  public static StateChart<RequestState, RequestEvent, RequestAction> chart() {
    return CHART;
  }

  /** Starts the request and counts it in the retry budget. */
  public void start() {
    budget.onRequest();
    stateMachine.fire(RequestEvent.START);
  }

  /** Called when an event of an attempt occurs; dropped unless it is the current attempt. */
  public void onAttemptEvent(int ofAttempt, RequestEvent event) {
    if (ofAttempt == attempt) {
      stateMachine.fire(event);
    }
  }

  /**
   * Called when an attempt is refused; dropped unless it is the current attempt, and after the
   * request has ended.
   */
  public void onRefused(int ofAttempt, Refusal refusal) {
    if (ofAttempt != attempt || stateMachine.isDone()) {
      return;
    }
    lastRefusal = refusal;
    stateMachine.fire(
        refusal.verdict() == Verdict.NOT_RUN ? RequestEvent.NOT_RUN : RequestEvent.MAY_HAVE_RUN);
  }

  /** Called when the caller's deadline has passed. */
  public void onDeadline() {
    stateMachine.fire(RequestEvent.DEADLINE);
  }

  /** Called when the process stops and no longer waits for the response. */
  public void onStop() {
    stateMachine.fire(RequestEvent.STOP);
  }

  /** Called when the caller has cancelled the request or disconnected. */
  public void onCancel() {
    stateMachine.fire(RequestEvent.CANCEL);
  }

  /** Returns the current state. */
  public RequestState state() {
    return stateMachine.state();
  }

  /** Returns the number of the current attempt, from 1; 0 before the first. */
  public int attempt() {
    return attempt;
  }

  private void perform(RequestAction action) {
    switch (action) {
      case CHOOSE -> choose();
      case SEND -> port.send(endpoint, attempt);
      case NOTE_NOT_RUN -> triedEndpoints.add(endpoint);
      case NOTE_MAY_HAVE_RUN -> noteMayHaveRun();
      case DECIDE -> stateMachine.fire(mayRetry() ? RequestEvent.RETRY : RequestEvent.GIVE_UP);
      case PASS_HEAD -> port.passHead();
      case FINISH -> port.finish();
      case REFUSE -> port.refuse(finalRefusal());
      case ABORT -> port.abort(finalRefusal());
      case CANCEL_REMOTE -> port.cancel(endpoint, attempt);
      case NOTE_DEADLINE -> note(RefusalReason.DEADLINE, "the deadline has passed");
      case NOTE_STOPPING -> note(RefusalReason.DRAINING, "the process stops before the response");
      case NOTE_CANCELLED -> note(RefusalReason.CANCELLED, "the caller has gone away");
      case NOTE_NO_ENDPOINT -> noteNoEndpoint();
    }
  }

  private void choose() {
    Optional<InstanceId> found = port.choose(Set.copyOf(triedEndpoints));
    if (found.isEmpty()) {
      stateMachine.fire(RequestEvent.NONE_LEFT);
      return;
    }
    endpoint = found.get();
    attempt++;
    stateMachine.fire(RequestEvent.CHOSEN);
  }

  private void noteMayHaveRun() {
    triedEndpoints.add(endpoint);
    worstVerdict = Verdict.MAY_HAVE_RUN;
    if (lastRefusal.verdict() == Verdict.NOT_RUN) {
      lastRefusal = Refusal.mayHaveRun(RefusalReason.LINK_LOST, "the link to the sidecar broke");
    }
  }

  /** Keeps the refusal of an earlier attempt, which is more specific than a missing endpoint. */
  private void noteNoEndpoint() {
    if (attempt == 0) {
      note(RefusalReason.NO_ENDPOINT, "no endpoint is usable");
    }
  }

  private void note(RefusalReason reason, String detail) {
    lastRefusal = new Refusal(worstVerdict, reason, detail, lastRefusal.retryAfter());
  }

  private boolean mayRetry() {
    return attempt < policy.maxAttempts()
        && retryRule.allows(worstVerdict, idempotent)
        && budget.tryRetry();
  }

  private Refusal finalRefusal() {
    return new Refusal(
        worstVerdict, lastRefusal.reason(), lastRefusal.detail(), lastRefusal.retryAfter());
  }
}
