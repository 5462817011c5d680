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
import org.carobhoist.core.idempotency.HomeRing;
import org.carobhoist.core.idempotency.HomeView;
import org.carobhoist.core.idempotency.RequestKey;
import org.carobhoist.core.routing.EndpointView;
import org.carobhoist.core.routing.RouteQuery;
import org.carobhoist.core.routing.Router;
import org.carobhoist.core.routing.RouterPolicy;

/** A simulated entry: the real request state machine and router over simulated links. */
final class WorldEntry extends WorldNode {

  private static final ServiceName SERVICE = new ServiceName("reservas");
  private static final Zone ZONE = new Zone("centro-a");
  private static final Duration DEADLINE = Duration.ofSeconds(10);
  private static final Duration READ_PERIOD = Duration.ofSeconds(4);
  private static final Duration RESTART = Duration.ofSeconds(1);
  private static final Duration WRITE = Duration.ofMillis(1);
  private static final RetryPolicy RETRIES = new RetryPolicy(3);

  private final RequestWorld world;
  private final Router router;
  private final RetryBudget budget = RetryBudget.create(1, 100);
  final Map<InstanceId, WorldChannel> channels = new HashMap<>();
  private Map<Long, Call> calls = new HashMap<>();
  private Optional<HomeView> view = Optional.empty();
  private int viewsRead;
  private long lastCall;

  WorldEntry(RequestWorld world) {
    super(world.time, world.events);
    this.world = world;
    this.router = Router.create(world.random, world.time, RouterPolicy.DEFAULT);
    read();
  }

  void crash() {
    up = false;
    epoch++;
    world.breakChannels(c -> c.entry == this);
    List<Call> lost = List.copyOf(calls.values());
    calls = new HashMap<>();
    lost.stream()
        .map(c -> c.sending)
        .distinct()
        .filter(s -> s.finals == 0)
        .forEach(s -> s.end(null));
    view = Optional.empty();
    viewsRead = 0;
    channels.clear();
    events.after(
        RESTART,
        () -> {
          up = true;
          read();
        });
  }

  /** Accepts a caller's request; a request to a crashed entry fails at once. */
  void begin(WorldWork.Sending sending, boolean watched) {
    if (!up) {
      sending.end(null);
      return;
    }
    Call call = new Call(sending, watched);
    if (sending.work.key.filter(k -> endpointOf(k).isEmpty()).isPresent()) {
      boolean issued = sending.work.key.get().isIssued();
      sending.end(issued ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN);
      return;
    }
    post(DEADLINE, call.run::onDeadline);
    calls.put(--lastCall, call);
    call.run.start();
  }

  Optional<InstanceId> route(Set<InstanceId> excluded) {
    List<EndpointView> views = channels.values().stream().map(WorldEntry::view).toList();
    return router
        .choose(new RouteQuery(SERVICE, ZONE, excluded, 0), views)
        .map(EndpointView::instance);
  }

  void onLinkLost(WorldChannel channel) {
    channels.remove(channel.sidecar.self.instance(), channel);
    List.copyOf(calls.values()).stream()
        .filter(c -> c.channel == channel)
        .forEach(c -> c.run.on(c.attempt, RequestEvent.LINK_LOST));
  }

  void onHead(WorldChannel from, long id) {
    Call c = find(from, id);
    if (c != null && c.frames.onHead()) {
      c.run.on(c.attempt, RequestEvent.HEAD);
    }
  }

  void onData(WorldChannel from, long id, int sequence, String text) {
    Call c = find(from, id);
    if (c == null) {
      return;
    }
    if (c.frames.onData(sequence)) {
      c.sending.text.append(text);
    } else {
      c.run.on(c.attempt, RequestEvent.BROKEN);
    }
  }

  void onEnd(WorldChannel from, long id, int frames) {
    Call c = find(from, id);
    if (c != null) {
      boolean whole = c.frames.onEnd(frames);
      c.run.on(c.attempt, whole ? RequestEvent.END : RequestEvent.BROKEN);
    }
  }

  void onFailed(WorldChannel from, long id, Refusal refusal) {
    Call c = find(from, id);
    if (c != null) {
      c.run.onRefused(c.attempt, refusal);
    }
  }

  private Call find(WorldChannel from, long id) {
    Call c = calls.get(id);
    return c != null && c.channel == from && c.call == id ? c : null;
  }

  private Optional<InstanceId> endpointOf(RequestKey key) {
    if (key.isIssued()) {
      HomeMember issuer = key.issuer().get();
      return channels.values().stream()
          .filter(c -> c.peerRun.equals(issuer))
          .map(c -> c.sidecar.self.instance())
          .findFirst();
    }
    return view.flatMap(v -> HomeRing.homeOf(v, key.id()))
        .map(HomeMember::instance)
        .filter(channels::containsKey);
  }

  private void read() {
    world.log.read(this, viewsRead, this::onRead, this::read);
  }

  private void onRead(List<HomeView> found) {
    found.forEach(v -> view = Optional.of(v));
    viewsRead += found.size();
    post(READ_PERIOD, this::read);
  }

  private static EndpointView view(WorldChannel c) {
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

    final WorldWork.Sending sending;
    final boolean watched;
    final RequestRun run;
    private Optional<RequestKey> key;
    private AnswerFrames frames = AnswerFrames.create();
    WorldChannel channel;
    private final int bornIn = epoch;
    private int attempt;
    private long call;

    private Call(WorldWork.Sending sending, boolean watched) {
      this.sending = sending;
      this.watched = watched;
      this.key = sending.work.key;
      RetryRule rule =
          (worst, idempotent) -> {
            world.onState(this, RequestState.DECIDING);
            return world.rules.retry().allows(worst, idempotent);
          };
      this.run =
          new RequestRun(
              this, RETRIES, budget, sending.work.isIdempotent(), world.rules.chart(), rule);
      world.onState(this, RequestState.NEW);
    }

    WorldEntry entry() {
      return WorldEntry.this;
    }

    @Override
    public Optional<InstanceId> choose(Set<InstanceId> excluded) {
      world.onState(this, RequestState.CHOOSING);
      if (sending.work.key.isPresent()) {
        return endpointOf(sending.work.key.get()).filter(e -> !excluded.contains(e));
      }
      Optional<InstanceId> chosen = route(excluded);
      if (!sending.work.isIdempotent()) {
        key = chosen.map(e -> world.issue(channels.get(e).peerRun));
      }
      return chosen;
    }

    @Override
    public void send(InstanceId endpoint, int number) {
      channel = channels.get(endpoint);
      attempt = number;
      frames = AnswerFrames.create();
      world.onState(this, RequestState.SENDING);
      if (channel == null || channel.broken) {
        post(WRITE, () -> run.on(number, RequestEvent.WRITE_FAILED));
        return;
      }
      calls.values().remove(this);
      call = ++world.calls;
      calls.put(call, this);
      RequestKey sent = key.orElse(null);
      WorldChannel over = channel;
      long id = call;
      over.up(() -> over.sidecar.onStart(over, id, sending, sent));
      post(WRITE, () -> written(number));
    }

    @Override
    public void cancel(InstanceId endpoint, int number) {
      WorldChannel over = channel;
      long id = call;
      over.up(() -> over.sidecar.onCancel(over, id));
    }

    @Override
    public void passHead() {
      sending.heads++;
      world.onState(this, RequestState.STREAMING);
    }

    @Override
    public void finish() {
      end(Verdict.COMPLETED);
      world.onState(this, RequestState.COMPLETED);
    }

    @Override
    public void refuse(Refusal refusal) {
      end(refusal.verdict());
      world.onState(this, RequestState.REFUSED);
    }

    @Override
    public void abort(Refusal refusal) {
      end(Verdict.MAY_HAVE_RUN);
      world.onState(this, RequestState.REFUSED);
    }

    private void written(int number) {
      run.on(number, RequestEvent.WRITTEN);
      if (run.state() == RequestState.WAITING && run.attempt() == number) {
        world.onState(this, RequestState.WAITING);
      }
    }

    private void end(Verdict verdict) {
      calls.values().remove(this);
      if (epoch == bornIn) {
        sending.end(verdict);
      }
    }
  }
}
