package org.carobhoist.core.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.Verdict;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.idempotency.HomeMember;
import org.carobhoist.core.idempotency.HomeSelector;
import org.carobhoist.core.idempotency.HomeView;
import org.carobhoist.core.idempotency.RequestKey;
import org.carobhoist.core.routing.EndpointView;
import org.carobhoist.core.routing.RouteQuery;
import org.carobhoist.core.routing.Router;
import org.carobhoist.core.routing.RouterPolicy;

/** A simulated entry: the real request state machine and router over simulated links. */
final class SimulatedEntryInstance extends SimulatedProcess {

  private static final ServiceName SERVICE = new ServiceName("reservas");
  private static final Zone ZONE = new Zone("centro-a");
  private static final Duration DEADLINE = Duration.ofSeconds(10);
  private static final Duration READ_PERIOD = Duration.ofSeconds(4);
  private static final Duration RESTART_DELAY = Duration.ofSeconds(1);
  private static final Duration WRITE_DELAY = Duration.ofMillis(1);
  private static final RetryPolicy RETRY_POLICY = new RetryPolicy(3);

  private final RequestSimulation simulation;
  private final Router router;
  private final RetryBudget budget = RetryBudget.create(1, 100);
  final Map<InstanceId, SimulatedLink> links = new HashMap<>();
  private Map<Long, Call> calls = new HashMap<>();
  private Optional<HomeView> view = Optional.empty();
  private int viewsRead;
  private long lastPlaceholderId;

  SimulatedEntryInstance(RequestSimulation simulation) {
    super(simulation.time, simulation.events);
    this.simulation = simulation;
    this.router = Router.create(simulation.random, simulation.time, RouterPolicy.DEFAULT);
    readLog();
  }

  void crash() {
    up = false;
    epoch++;
    simulation.breakLinks(c -> c.entry == this);
    List<Call> lost = List.copyOf(calls.values());
    calls = new HashMap<>();
    lost.stream()
        .map(c -> c.submission)
        .distinct()
        .filter(s -> s.finalResponseCount == 0)
        .forEach(s -> s.recordOutcome(null));
    view = Optional.empty();
    viewsRead = 0;
    links.clear();
    events.after(
        RESTART_DELAY,
        () -> {
          up = true;
          readLog();
        });
  }

  /** Accepts a caller's request; a request to a crashed entry fails at once. */
  void acceptRequest(LogicalRequest.Submission submission, boolean isFaultTarget) {
    if (!up) {
      submission.recordOutcome(null);
      return;
    }
    Call call = new Call(submission, isFaultTarget);
    if (submission.request.key.filter(k -> endpointOf(k).isEmpty()).isPresent()) {
      boolean issued = submission.request.key.get().isIssued();
      submission.recordOutcome(issued ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN);
      return;
    }
    post(DEADLINE, call.run::onDeadline);
    calls.put(--lastPlaceholderId, call);
    call.run.start();
  }

  Optional<InstanceId> chooseByRouter(Set<InstanceId> excluded) {
    List<EndpointView> views = links.values().stream().map(SimulatedEntryInstance::view).toList();
    return router
        .choose(new RouteQuery(SERVICE, ZONE, excluded, 0), views)
        .map(EndpointView::instance);
  }

  void onLinkLost(SimulatedLink link) {
    links.remove(link.sidecar.self.instance(), link);
    List.copyOf(calls.values()).stream()
        .filter(c -> c.link == link)
        .forEach(c -> c.run.onAttemptEvent(c.attempt, RequestEvent.LINK_LOST));
  }

  void onHead(SimulatedLink from, long id) {
    Call c = find(from, id);
    if (c != null && c.frames.onHead()) {
      c.run.onAttemptEvent(c.attempt, RequestEvent.HEAD);
    }
  }

  void onData(SimulatedLink from, long id, int sequence, String text) {
    Call c = find(from, id);
    if (c == null) {
      return;
    }
    if (c.frames.onData(sequence)) {
      c.submission.text.append(text);
    } else {
      c.run.onAttemptEvent(c.attempt, RequestEvent.BROKEN);
    }
  }

  void onEnd(SimulatedLink from, long id, int frames) {
    Call c = find(from, id);
    if (c != null) {
      boolean complete = c.frames.onEnd(frames);
      c.run.onAttemptEvent(c.attempt, complete ? RequestEvent.END : RequestEvent.BROKEN);
    }
  }

  void onFailed(SimulatedLink from, long id, Refusal refusal) {
    Call c = find(from, id);
    if (c != null) {
      c.run.onRefused(c.attempt, refusal);
    }
  }

  private Call find(SimulatedLink from, long id) {
    Call c = calls.get(id);
    return c != null && c.link == from && c.call == id ? c : null;
  }

  private Optional<InstanceId> endpointOf(RequestKey key) {
    if (key.isIssued()) {
      HomeMember issuer = key.issuer().get();
      return links.values().stream()
          .filter(c -> c.peer.equals(issuer))
          .map(c -> c.sidecar.self.instance())
          .findFirst();
    }
    return view.flatMap(v -> HomeSelector.homeOf(v, key.id()))
        .map(HomeMember::instance)
        .filter(links::containsKey);
  }

  private void readLog() {
    simulation.log.read(this, viewsRead, this::onRead, this::readLog);
  }

  private void onRead(List<HomeView> found) {
    found.forEach(v -> view = Optional.of(v));
    viewsRead += found.size();
    post(READ_PERIOD, this::readLog);
  }

  private static EndpointView view(SimulatedLink c) {
    return new EndpointView(
        c.sidecar.self.instance(),
        SERVICE,
        EndpointKind.PLAIN,
        ZONE,
        true,
        0,
        0,
        1,
        new WeightVersion(0));
  }

  /** One submission of a caller's request. */
  final class Call implements RequestPort {

    final LogicalRequest.Submission submission;
    final boolean isFaultTarget;
    final RequestStateMachine run;
    private Optional<RequestKey> key;
    private ResponseFrameValidator frames = ResponseFrameValidator.create();
    SimulatedLink link;
    private final int startEpoch = epoch;
    private int attempt;
    private long call;

    private Call(LogicalRequest.Submission submission, boolean isFaultTarget) {
      this.submission = submission;
      this.isFaultTarget = isFaultTarget;
      this.key = submission.request.key;
      RetryRule rule =
          (worst, idempotent) -> {
            simulation.injectPendingFaults(this, RequestState.DECIDING);
            return simulation.rules.retry().allows(worst, idempotent);
          };
      this.run =
          new RequestStateMachine(
              this,
              RETRY_POLICY,
              budget,
              submission.request.isIdempotent(),
              simulation.rules.chart(),
              rule);
      simulation.injectPendingFaults(this, RequestState.NEW);
    }

    SimulatedEntryInstance entry() {
      return SimulatedEntryInstance.this;
    }

    @Override
    public Optional<InstanceId> choose(Set<InstanceId> excluded) {
      simulation.injectPendingFaults(this, RequestState.CHOOSING);
      if (submission.request.key.isPresent()) {
        return endpointOf(submission.request.key.get()).filter(e -> !excluded.contains(e));
      }
      Optional<InstanceId> chosen = chooseByRouter(excluded);
      if (!submission.request.isIdempotent()) {
        key = chosen.map(e -> simulation.issueKey(links.get(e).peer));
      }
      return chosen;
    }

    @Override
    public void send(InstanceId endpoint, int number) {
      link = links.get(endpoint);
      attempt = number;
      frames = ResponseFrameValidator.create();
      simulation.injectPendingFaults(this, RequestState.SENDING);
      if (link == null || link.broken) {
        post(WRITE_DELAY, () -> run.onAttemptEvent(number, RequestEvent.WRITE_FAILED));
        return;
      }
      calls.values().remove(this);
      call = ++simulation.lastCallId;
      calls.put(call, this);
      RequestKey sent = key.orElse(null);
      SimulatedLink target = link;
      long id = call;
      target.sendToSidecar(() -> target.sidecar.onStart(target, id, submission, sent));
      post(WRITE_DELAY, () -> onWritten(number));
    }

    @Override
    public void cancel(InstanceId endpoint, int number) {
      SimulatedLink target = link;
      long id = call;
      target.sendToSidecar(() -> target.sidecar.onCancel(target, id));
    }

    @Override
    public void passHead() {
      submission.headCount++;
      simulation.injectPendingFaults(this, RequestState.STREAMING);
    }

    @Override
    public void finish() {
      end(Verdict.COMPLETED);
      simulation.injectPendingFaults(this, RequestState.COMPLETED);
    }

    @Override
    public void refuse(Refusal refusal) {
      end(refusal.verdict());
      simulation.injectPendingFaults(this, RequestState.REFUSED);
    }

    @Override
    public void abort(Refusal refusal) {
      end(Verdict.MAY_HAVE_RUN);
      simulation.injectPendingFaults(this, RequestState.REFUSED);
    }

    private void onWritten(int number) {
      run.onAttemptEvent(number, RequestEvent.WRITTEN);
      if (run.state() == RequestState.WAITING && run.attempt() == number) {
        simulation.injectPendingFaults(this, RequestState.WAITING);
      }
    }

    private void end(Verdict verdict) {
      calls.values().remove(this);
      if (epoch == startEpoch) {
        submission.recordOutcome(verdict);
      }
    }
  }
}
