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
import org.carobhoist.core.idempotency.HomeKeeper;
import org.carobhoist.core.idempotency.HomeLease;
import org.carobhoist.core.idempotency.HomeMember;
import org.carobhoist.core.idempotency.HomePolicy;
import org.carobhoist.core.idempotency.HomeView;
import org.carobhoist.core.idempotency.KeyGate;
import org.carobhoist.core.idempotency.RequestKey;
import org.carobhoist.core.idempotency.Waiter;
import org.carobhoist.core.limit.AdmissionQueue;
import org.carobhoist.core.limit.AdmissionTicket;
import org.carobhoist.core.limit.LimitPolicy;

/** A simulated sidecar with its endpoint: real duplicate detection, home lease and admission. */
final class WorldSidecar extends WorldNode {

  private static final LimitPolicy LIMITS = new LimitPolicy(2, 1, 4, 8, Duration.ofSeconds(5));
  private static final Duration READ_PERIOD = Duration.ofSeconds(4);
  private static final Duration TICK = Duration.ofSeconds(2);
  private static final Duration REACH = Duration.ofMillis(5);
  private static final Duration SERVICE = Duration.ofMillis(50);
  private static final Duration FRAME_GAP = Duration.ofMillis(2);
  private static final Duration RESTART = Duration.ofSeconds(1);

  private final RequestWorld world;
  private final int index;
  private final Clock clock;
  private Map<Ref, Receiver> receivers = new HashMap<>();
  private HomeHistory history;
  private HomeLease lease;
  private HomeKeeper keeper;
  private DuplicateTable<String> table;
  private KeyGate<String> gate;
  private AdmissionQueue queue;
  private long tickets;
  private int viewsRead;
  private int endpointRun;
  private Duration endpointDownUntil = Duration.ZERO;
  HomeMember self;

  private record Ref(WorldChannel channel, long call) {}

  WorldSidecar(RequestWorld world, int index, Duration skew) {
    super(world.time, world.events);
    this.world = world;
    this.index = index;
    this.clock = new SkewedClock(world.time, skew);
    begin();
  }

  void begin() {
    up = true;
    self =
        new HomeMember(
            new InstanceId("sidecar-" + index), new Incarnation("run-" + index + "-" + epoch));
    history = HomeHistory.create();
    lease = HomeLease.create(HomePolicy.DEFAULT, clock);
    keeper =
        HomeKeeper.create(
            self, m -> world.log.append(this, m), clock, new Random(index), lease, history);
    table = world.rules.gate().table(world.tablePolicy, clock);
    gate = world.rules.gate().gate(self, clock, lease, history, table);
    queue = AdmissionQueue.create(LIMITS, clock);
    receivers = new HashMap<>();
    viewsRead = 0;
    read();
    tick();
  }

  void crash() {
    up = false;
    epoch++;
    world.breakChannels(c -> c.sidecar == this);
    events.after(RESTART, this::begin);
  }

  void crashEndpoint() {
    endpointRun++;
    endpointDownUntil = time.elapsed().plus(RESTART);
  }

  void onStart(WorldChannel channel, long call, WorldWork.Sending sending, RequestKey key) {
    Ref ref = new Ref(channel, call);
    if (!channel.starts.test(call)) {
      return;
    }
    Receiver receiver = new Receiver(ref, Optional.ofNullable(key));
    receivers.put(ref, receiver);
    if (key == null) {
      admit(sending, receiver::onAnswer, receiver::onRefused);
    } else if (gate.submit(key, sending.work.fingerprint(), receiver)) {
      admit(sending, a -> table.finish(key, a), r -> table.fail(key, r));
    }
  }

  void onCancel(WorldChannel channel, long call) {
    leave(receivers.get(new Ref(channel, call)));
  }

  void onLinkDown(WorldChannel channel) {
    List.copyOf(receivers.values()).stream()
        .filter(r -> r.ref.channel() == channel)
        .forEach(this::leave);
  }

  private void leave(Receiver receiver) {
    if (receiver != null) {
      receivers.remove(receiver.ref);
      receiver.key.ifPresent(key -> table.leave(key, receiver));
    }
  }

  private void admit(
      WorldWork.Sending sending, Consumer<String> onAnswer, Consumer<Refusal> onRefused) {
    long id = tickets++;
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
            () -> exchange(sending, answered, failed),
            onRefused));
  }

  /** Sends a request to the endpoint, which runs it and responds unless it crashes meanwhile. */
  private void exchange(
      WorldWork.Sending sending, Consumer<String> onAnswer, Consumer<Refusal> onFailed) {
    if (time.elapsed().compareTo(endpointDownUntil) < 0) {
      onFailed.accept(Refusal.notRun(RefusalReason.ENDPOINT_FAILED, "connection refused"));
      return;
    }
    int run = epoch;
    int target = endpointRun;
    Refusal broken = Refusal.mayHaveRun(RefusalReason.ENDPOINT_FAILED, "broke off");
    Runnable fail = () -> deliver(run, () -> onFailed.accept(broken));
    events.after(
        REACH,
        () -> {
          if (endpointRun != target) {
            fail.run();
            return;
          }
          sending.work.runs++;
          sending.runs++;
          Runnable answer = () -> deliver(run, () -> onAnswer.accept(sending.work.answer()));
          events.after(SERVICE, () -> (endpointRun == target ? answer : fail).run());
        });
  }

  private void read() {
    lease.onReadSent();
    world.log.read(this, viewsRead, this::onRead, this::read);
  }

  private void onRead(List<HomeView> found) {
    found.forEach(history::add);
    viewsRead += found.size();
    lease.onCaughtUp();
    post(READ_PERIOD, this::read);
  }

  private void tick() {
    queue.expire();
    table.expire();
    keeper.tick();
    post(TICK, this::tick);
  }

  /** Waits for the outcome of one call and sends it over the link. */
  private final class Receiver implements Waiter<String> {

    private final Ref ref;
    private final Optional<RequestKey> key;

    private Receiver(Ref ref, Optional<RequestKey> key) {
      this.ref = ref;
      this.key = key;
    }

    @Override
    public void onAnswer(String answer) {
      receivers.remove(ref);
      int cut = answer.length() / 2;
      WorldChannel c = ref.channel();
      List<Runnable> frames = new ArrayList<>();
      frames.add(() -> c.entry.onHead(c, ref.call()));
      frames.add(() -> c.entry.onData(c, ref.call(), 0, answer.substring(0, cut)));
      if (!c.truncating) {
        frames.add(() -> c.entry.onData(c, ref.call(), 1, answer.substring(cut)));
      }
      frames.add(() -> c.entry.onEnd(c, ref.call(), 2));
      for (int i = 0; i < frames.size(); i++) {
        Runnable frame = frames.get(i);
        post(FRAME_GAP.multipliedBy(i), () -> c.down(frame));
      }
    }

    @Override
    public void onRefused(Refusal refusal) {
      receivers.remove(ref);
      ref.channel().down(() -> ref.channel().entry.onFailed(ref.channel(), ref.call(), refusal));
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

  static DuplicatePolicy table(int entries) {
    return new DuplicatePolicy(entries, 10_000, Duration.ofMinutes(10));
  }
}
