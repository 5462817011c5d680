package org.carobhoist.core.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Priority;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;
import org.carobhoist.core.idempotency.DuplicatePolicy;
import org.carobhoist.core.idempotency.DuplicateTable;
import org.carobhoist.core.idempotency.HomeHistory;
import org.carobhoist.core.idempotency.HomeLease;
import org.carobhoist.core.idempotency.HomeMember;
import org.carobhoist.core.idempotency.HomePolicy;
import org.carobhoist.core.idempotency.HomeView;
import org.carobhoist.core.idempotency.HomeViewRegistrar;
import org.carobhoist.core.idempotency.KeyGate;
import org.carobhoist.core.idempotency.RequestKey;
import org.carobhoist.core.idempotency.Waiter;
import org.carobhoist.core.limit.AdmissionQueue;
import org.carobhoist.core.limit.AdmissionTicket;
import org.carobhoist.core.limit.LimitPolicy;

/** A simulated sidecar with its endpoint: real duplicate detection, home lease and admission. */
final class SimulatedSidecar extends SimulatedProcess {

  private static final LimitPolicy LIMITS = new LimitPolicy(2, 1, 4, 8, Duration.ofSeconds(5));
  private static final Duration READ_PERIOD = Duration.ofSeconds(4);
  private static final Duration TICK_PERIOD = Duration.ofSeconds(2);
  private static final Duration ENDPOINT_LATENCY = Duration.ofMillis(5);
  private static final Duration SERVICE_TIME = Duration.ofMillis(50);
  private static final Duration FRAME_GAP = Duration.ofMillis(2);
  private static final Duration RESTART_DELAY = Duration.ofSeconds(1);

  private final RequestSimulation simulation;
  private final int index;
  private final Clock clock;
  private Map<CallRef, Receiver> receivers = new HashMap<>();
  private HomeHistory history;
  private HomeLease lease;
  private HomeViewRegistrar registrar;
  private DuplicateTable<String> table;
  private KeyGate<String> gate;
  private AdmissionQueue queue;
  private long nextTicketId;
  private int viewsRead;
  private int endpointEpoch;
  private Duration endpointDownUntil = Duration.ZERO;
  HomeMember self;

  private record CallRef(SimulatedLink link, long call) {}

  SimulatedSidecar(RequestSimulation simulation, int index, Duration skew) {
    super(simulation.time, simulation.events);
    this.simulation = simulation;
    this.index = index;
    this.clock = new SkewedClock(simulation.time, skew);
    start();
  }

  void start() {
    up = true;
    self =
        new HomeMember(
            new InstanceId("sidecar-" + index), new Incarnation("run-" + index + "-" + epoch));
    history = HomeHistory.create();
    lease = HomeLease.create(HomePolicy.DEFAULT, clock);
    registrar =
        HomeViewRegistrar.create(
            self, m -> simulation.log.append(this, m), clock, new Random(index), lease, history);
    table = simulation.rules.gate().table(simulation.tablePolicy, clock);
    gate = simulation.rules.gate().gate(self, clock, lease, history, table);
    queue = AdmissionQueue.create(LIMITS, clock);
    receivers = new HashMap<>();
    viewsRead = 0;
    readLog();
    tick();
  }

  void crash() {
    up = false;
    epoch++;
    simulation.breakLinks(c -> c.sidecar == this);
    events.after(RESTART_DELAY, this::start);
  }

  void crashEndpoint() {
    endpointEpoch++;
    endpointDownUntil = time.elapsed().plus(RESTART_DELAY);
  }

  void onStart(
      SimulatedLink link, long call, LogicalRequest.Submission submission, RequestKey key) {
    CallRef ref = new CallRef(link, call);
    if (!link.startFilter.test(call)) {
      return;
    }
    Receiver receiver = new Receiver(ref, Optional.ofNullable(key));
    receivers.put(ref, receiver);
    if (key == null) {
      admit(submission, receiver::onAnswer, receiver::onRefused);
    } else if (gate.submit(key, submission.request.fingerprint(), receiver)) {
      admit(submission, a -> table.finish(key, a), r -> table.fail(key, r));
    }
  }

  void onCancel(SimulatedLink link, long call) {
    stopWaiting(receivers.get(new CallRef(link, call)));
  }

  void onLinkDown(SimulatedLink link) {
    List.copyOf(receivers.values()).stream()
        .filter(r -> r.ref.link() == link)
        .forEach(this::stopWaiting);
  }

  private void stopWaiting(Receiver receiver) {
    if (receiver != null) {
      receivers.remove(receiver.ref);
      receiver.key.ifPresent(key -> table.removeWaiter(key, receiver));
    }
  }

  private void admit(
      LogicalRequest.Submission submission,
      Consumer<String> onAnswer,
      Consumer<Refusal> onRefused) {
    long id = nextTicketId++;
    Consumer<String> answered =
        a -> {
          onAnswer.accept(a);
          queue.complete(id);
        };
    Consumer<Refusal> failed =
        r -> {
          onRefused.accept(r);
          queue.complete(id);
        };
    queue.offer(
        new AdmissionTicket(
            id,
            Priority.STANDARD,
            "tenant",
            Optional.empty(),
            () -> callEndpoint(submission, answered, failed),
            onRefused));
  }

  /** Sends a request to the endpoint, which runs it and responds unless it crashes meanwhile. */
  private void callEndpoint(
      LogicalRequest.Submission submission, Consumer<String> onAnswer, Consumer<Refusal> onFailed) {
    if (time.elapsed().compareTo(endpointDownUntil) < 0) {
      onFailed.accept(Refusal.notRun(RefusalReason.ENDPOINT_FAILED, "connection refused"));
      return;
    }
    int expectedEpoch = epoch;
    int expectedEndpointEpoch = endpointEpoch;
    Refusal broken = Refusal.mayHaveRun(RefusalReason.ENDPOINT_FAILED, "broke off");
    Runnable fail = () -> deliver(expectedEpoch, () -> onFailed.accept(broken));
    events.after(
        ENDPOINT_LATENCY,
        () -> {
          if (endpointEpoch != expectedEndpointEpoch) {
            fail.run();
            return;
          }
          submission.request.runCount++;
          submission.runCount++;
          Runnable answer =
              () -> deliver(expectedEpoch, () -> onAnswer.accept(submission.request.response()));
          events.after(
              SERVICE_TIME, () -> (endpointEpoch == expectedEndpointEpoch ? answer : fail).run());
        });
  }

  private void readLog() {
    lease.onReadSent();
    simulation.log.read(this, viewsRead, this::onRead, this::readLog);
  }

  private void onRead(List<HomeView> found) {
    found.forEach(history::add);
    viewsRead += found.size();
    lease.onCaughtUp();
    post(READ_PERIOD, this::readLog);
  }

  private void tick() {
    queue.expire();
    table.expire();
    registrar.tick();
    post(TICK_PERIOD, this::tick);
  }

  /** Waits for the outcome of one call and sends it over the link. */
  private final class Receiver implements Waiter<String> {

    private final CallRef ref;
    private final Optional<RequestKey> key;

    private Receiver(CallRef ref, Optional<RequestKey> key) {
      this.ref = ref;
      this.key = key;
    }

    @Override
    public void onAnswer(String answer) {
      receivers.remove(ref);
      int middle = answer.length() / 2;
      SimulatedLink c = ref.link();
      List<Runnable> frames = new ArrayList<>();
      frames.add(() -> c.entry.onHead(c, ref.call()));
      frames.add(() -> c.entry.onData(c, ref.call(), 0, answer.substring(0, middle)));
      if (!c.truncatesResponses) {
        frames.add(() -> c.entry.onData(c, ref.call(), 1, answer.substring(middle)));
      }
      frames.add(() -> c.entry.onEnd(c, ref.call(), 2));
      for (int i = 0; i < frames.size(); i++) {
        Runnable frame = frames.get(i);
        post(FRAME_GAP.multipliedBy(i), () -> c.sendToEntry(frame));
      }
    }

    @Override
    public void onRefused(Refusal refusal) {
      receivers.remove(ref);
      ref.link().sendToEntry(() -> ref.link().entry.onFailed(ref.link(), ref.call(), refusal));
    }
  }

  /** A wall clock with a constant error. */
  private record SkewedClock(Clock time, Duration skew) implements Clock {

    @Override
    public Instant now() {
      return time.now().plus(skew);
    }

    @Override
    public Duration elapsed() {
      return time.elapsed();
    }
  }

  static DuplicatePolicy duplicatePolicy(int entries) {
    return new DuplicatePolicy(entries, 10_000, Duration.ofMinutes(10));
  }
}
