package org.carobhoist.server.gateway;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.membership.RelayPeers;
import org.carobhoist.core.placement.PlacementPort;
import org.carobhoist.core.settings.SocketAddressText;
import org.carobhoist.core.store.Snapshot;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.core.store.TailListener;
import org.carobhoist.platform.StoreCall;
import org.carobhoist.platform.StoreReply;
import org.carobhoist.platform.StoreTransport;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.LinkNetwork;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.link.proto.NodeRecord;
import org.carobhoist.server.link.proto.Ping;
import org.carobhoist.server.link.proto.StoreRelay;
import org.carobhoist.server.link.proto.StoreRelayReply;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * Keeps the links that this process opens to other gateways, which it knows from their records in
 * the store. The coordinator keeps a link to every gateway. Other processes keep links to a few
 * peers, through which they reach the store when it rejects their own calls, and to further peers
 * while the store rejects the calls of those as well.
 */
final class PeerMesh implements TailListener {

  /** Interval at which all links are checked. */
  private static final Duration TICK = Duration.ofMillis(250);

  private static final Duration PING_PERIOD = Duration.ofMillis(500);

  /** Time without a received frame after which a link is closed. */
  private static final Duration SILENCE = Duration.ofMillis(1_200);

  /** Time since the last frame from an unlinked peer after which the peer counts as lost. */
  private static final Duration LOST = Duration.ofMillis(1_700);

  private static final Duration RECONNECT_PERIOD = Duration.ofMillis(700);

  private final InstanceId self;
  private final DecisionLoop loop;
  private final Clock clock;
  private final PeerListener listener;
  private final Map<InstanceId, Peer> peers = new HashMap<>();
  private final Map<Long, Relayed> relayed = new HashMap<>();
  private LinkNetwork network;
  private BooleanSupplier direct;
  private boolean toAll;
  private long lastCall;

  /** Receives the events of peers. */
  interface PeerListener {

    /** Called when a link that this process opened has been established. */
    void onUp(InstanceId peer);

    /** Called when a peer has become unreachable or its record has been deleted. */
    void onLost(InstanceId peer, String why);

    /** Called for each frame on an opened link that the mesh doesn't handle itself. */
    void onFrame(InstanceId peer, LinkFrame frame);
  }

  private static final class Peer {
    private final InstanceId id;
    private NodeRecord node;
    private Link link;
    private boolean wanted;
    private boolean connecting;
    private boolean unlinkable;
    private RelayPeers.Path path = RelayPeers.Path.UNKNOWN;
    private boolean known;
    private boolean refused;
    private Duration heardAt = Duration.ZERO;
    private Duration pingedAt = Duration.ZERO;
    private Duration triedAt = Duration.ZERO;

    private Peer(InstanceId id) {
      this.id = id;
    }

    private boolean reachesStore() {
      return link != null && path == RelayPeers.Path.OPEN;
    }

    private void onPath(boolean open) {
      path = open ? RelayPeers.Path.OPEN : RelayPeers.Path.SHUT;
    }

    private void dropLink() {
      Link old = link;
      link = null;
      path = RelayPeers.Path.UNKNOWN;
      old.close();
    }
  }

  /** A store call that a peer makes on behalf of this process. */
  private record Relayed(Peer by, CompletableFuture<StoreReply> reply) {}

  PeerMesh(InstanceId self, DecisionLoop loop, Clock clock, PeerListener listener) {
    this.self = self;
    this.loop = loop;
    this.clock = clock;
    this.listener = listener;
  }

  /**
   * Starts opening links to peers.
   *
   * @param reachesStore whether this process reaches the store directly
   */
  void start(LinkNetwork links, BooleanSupplier reachesStore) {
    network = links;
    direct = reachesStore;
    loop.every(TICK, this::tick);
  }

  @Override
  public void onSnapshot(Snapshot snapshot) {
    Set<String> present = snapshot.keys();
    snapshot.records().forEach(this::onRecord);
    List.copyOf(peers.values()).stream()
        .filter(p -> !present.contains(p.id.value()))
        .forEach(p -> remove(p.id));
  }

  @Override
  public void onRecord(StoredRecord stored) {
    try {
      InstanceId id = new InstanceId(stored.key());
      if (id.equals(self)) {
        return;
      }
      if (stored.isDrop()) {
        remove(id);
        return;
      }
      enter(id, NodeRecord.parseFrom(stored.value()));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      EventLog.warn(LogEvent.RECORD_SKIPPED, "key", stored.key(), "why", e.getMessage());
    }
  }

  /** Sets whether to link all gateways, or only those that are used as a path to the store. */
  void linkAll(boolean all) {
    toAll = all;
    choose();
    tick();
  }

  /** Returns the linked peers with their zones and CPU capacities. */
  Map<InstanceId, PlacementPort.Runner> linked() {
    Map<InstanceId, PlacementPort.Runner> out = new HashMap<>();
    peers.values().stream().filter(p -> p.link != null).forEach(p -> out.put(p.id, runner(p)));
    return out;
  }

  private static PlacementPort.Runner runner(Peer p) {
    return new PlacementPort.Runner(p.id, new Zone(p.node.getZone()), p.node.getMilliCores());
  }

  /** Returns transports to the store through those relay peers that reach it. */
  List<StoreTransport> storePaths() {
    return peers.values().stream()
        .filter(p -> p.wanted && p.reachesStore())
        .sorted(Comparator.comparing(p -> p.id))
        .map(p -> (StoreTransport) call -> relay(p, call))
        .toList();
  }

  /** Sends a frame to a peer; drops it if there is no link. */
  void send(InstanceId id, LinkFrame frame) {
    Peer peer = peers.get(id);
    if (peer != null && peer.link != null) {
      peer.link.send(frame);
    }
  }

  /**
   * Returns the preferred next holder of the lease: of the linked peers that reach the store, the
   * one with the most CPU.
   */
  Optional<InstanceId> heir() {
    Comparator<Peer> byCores = Comparator.comparing(p -> p.node.getMilliCores());
    return peers.values().stream()
        .filter(Peer::reachesStore)
        .max(byCores.thenComparing(p -> p.id))
        .map(p -> p.id);
  }

  /** Returns whether the given incarnation of a process is known to have ended. */
  boolean hasEnded(InstanceId id, Incarnation incarnation) {
    Peer peer = peers.get(id);
    if (peer == null || peer.node == null) {
      return false;
    }
    return peer.refused || !peer.node.getIncarnation().equals(incarnation.value());
  }

  /** Called when a link that this process opened has been established. */
  void onUp(Link link) {
    Peer peer = peers.get(new InstanceId(link.peer().getInstance()));
    if (peer == null || peer.link != null) {
      link.close();
      return;
    }
    peer.refused = false;
    peer.unlinkable = false;
    peer.link = link;
    peer.known = true;
    peer.heardAt = clock.elapsed();
    ping(peer);
    listener.onUp(peer.id);
  }

  /** Called when a link that this process opened has been closed. */
  void onDown(Link link) {
    Peer peer = peers.get(new InstanceId(link.peer().getInstance()));
    if (peer != null && peer.link == link) {
      peer.dropLink();
      connect(peer);
    }
  }

  /** Called for each frame on a link that this process opened. */
  void onFrame(Link link, LinkFrame frame) {
    Peer peer = peers.get(new InstanceId(link.peer().getInstance()));
    if (peer == null || peer.link != link) {
      return;
    }
    peer.heardAt = clock.elapsed();
    switch (frame.getBodyCase()) {
      case PONG -> peer.onPath(frame.getPong().getStoreReachable());
      case STORE_RELAY_REPLY -> onReply(peer, frame.getStoreRelayReply());
      default -> listener.onFrame(peer.id, frame);
    }
  }

  private void enter(InstanceId id, NodeRecord node) {
    Peer peer = peers.computeIfAbsent(id, Peer::new);
    boolean restarted =
        peer.node != null && !peer.node.getIncarnation().equals(node.getIncarnation());
    peer.node = node;
    peer.refused &= !restarted;
    peer.unlinkable &= !restarted;
    if (restarted && peer.link != null) {
      peer.dropLink();
    }
    choose();
  }

  private void remove(InstanceId id) {
    Peer peer = peers.remove(id);
    if (peer != null && peer.link != null) {
      peer.link.close();
    }
    if (peer != null && peer.known) {
      listener.onLost(id, "its record was deleted");
    }
    choose();
  }

  private void choose() {
    Set<InstanceId> relays =
        RelayPeers.choose(
            self,
            peers.values().stream().map(PeerMesh::candidate).toList(),
            !direct.getAsBoolean());
    peers.values().forEach(p -> p.wanted = toAll || relays.contains(p.id));
  }

  private static RelayPeers.Candidate candidate(Peer peer) {
    return new RelayPeers.Candidate(peer.id, peer.unlinkable ? RelayPeers.Path.NO_LINK : peer.path);
  }

  private void tick() {
    Duration now = clock.elapsed();
    choose();
    for (Peer p : List.copyOf(peers.values())) {
      if (p.link != null) {
        watch(p, now);
      } else if (p.wanted && now.minus(p.triedAt).compareTo(RECONNECT_PERIOD) > 0) {
        connect(p);
      }
      if (p.known && p.link == null && now.minus(p.heardAt).compareTo(LOST) > 0) {
        lose(p, "silent");
      }
    }
  }

  private void watch(Peer peer, Duration now) {
    if (!peer.wanted && !isRelaying(peer)) {
      peer.known = false;
      peer.dropLink();
    } else if (now.minus(peer.heardAt).compareTo(SILENCE) > 0) {
      EventLog.warn(LogEvent.LINK_SILENT, "peer", peer.id);
      peer.unlinkable = true;
      peer.dropLink();
    } else if (now.minus(peer.pingedAt).compareTo(PING_PERIOD) >= 0) {
      ping(peer);
    }
  }

  private boolean isRelaying(Peer peer) {
    return relayed.values().stream().anyMatch(r -> r.by() == peer);
  }

  private void ping(Peer peer) {
    peer.pingedAt = clock.elapsed();
    peer.link.send(LinkFrame.newBuilder().setPing(Ping.getDefaultInstance()).build());
  }

  private void connect(Peer peer) {
    if (!peer.wanted || peer.connecting || peer.link != null) {
      return;
    }
    peer.connecting = true;
    peer.triedAt = clock.elapsed();
    SocketAddressText address = SocketAddressText.parse(peer.node.getAddress());
    network
        .open(address.host(), address.port())
        .whenCompleteAsync((ok, failure) -> onOpened(peer, failure), loop);
  }

  private void onOpened(Peer peer, Throwable failure) {
    peer.connecting = false;
    if (failure == null) {
      return;
    }
    peer.unlinkable = true;
    peer.refused = isRefusal(failure);
    if (peer.refused && peer.known) {
      lose(peer, "connection refused");
    }
  }

  /**
   * Returns whether the peer's host refused the connection. Then no process listens there: the peer
   * has ended, and all its runs with it. A timeout doesn't show that.
   */
  static boolean isRefusal(Throwable failure) {
    return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
  }

  private void lose(Peer peer, String why) {
    peer.known = false;
    listener.onLost(peer.id, why);
  }

  private CompletableFuture<StoreReply> relay(Peer peer, StoreCall call) {
    if (peer.link == null) {
      return CompletableFuture.failedFuture(new IllegalStateException("no link to the peer"));
    }
    long number = ++lastCall;
    CompletableFuture<StoreReply> reply = new CompletableFuture<>();
    relayed.put(number, new Relayed(peer, reply));
    StoreRelay message =
        StoreRelay.newBuilder()
            .setCall(number)
            .setMethod(call.method())
            .setTarget(call.target())
            .setContent(ByteString.copyFrom(call.content()))
            .setTimeoutMillis(call.timeout().toMillis())
            .build();
    peer.link.send(LinkFrame.newBuilder().setStoreRelay(message).build());
    loop.after(call.timeout(), () -> failRelay(number));
    return reply;
  }

  private void failRelay(long number) {
    Relayed call = relayed.remove(number);
    if (call != null) {
      call.reply()
          .completeExceptionally(new IllegalStateException("the peer did not answer in time"));
    }
  }

  private void onReply(Peer peer, StoreRelayReply message) {
    Relayed call = relayed.remove(message.getCall());
    if (call == null) {
      return;
    }
    if (message.getStatus() == 0) {
      peer.onPath(false);
      call.reply()
          .completeExceptionally(
              new IllegalStateException("the peer got no answer from the store"));
      return;
    }
    StoreReply answer = new StoreReply(message.getStatus(), message.getContent().toByteArray());
    peer.onPath(!answer.isTurnedAway());
    call.reply().complete(answer);
  }
}
