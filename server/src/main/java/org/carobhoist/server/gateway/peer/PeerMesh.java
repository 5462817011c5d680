package org.carobhoist.server.gateway.peer;

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
import org.carobhoist.core.common.Callbacks;
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
public final class PeerMesh implements TailListener {

  /** Interval at which all links are checked. */
  private static final Duration CHECK_PERIOD = Duration.ofMillis(250);

  private static final Duration PING_PERIOD = Duration.ofMillis(500);

  /** Time without a received frame after which a link is closed. */
  private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(1_200);

  /** Time since the last frame from an unlinked peer after which the peer counts as lost. */
  private static final Duration LOST_TIMEOUT = Duration.ofMillis(1_700);

  /** Time for which a process should have run before it is the heir of the lease. */
  private static final Duration HEIR_RUN_TIME = Duration.ofSeconds(5);

  private static final Duration RECONNECT_PERIOD = Duration.ofMillis(700);

  private final InstanceId self;
  private final DecisionLoop loop;
  private final Clock clock;
  private final PeerListener listener;
  private final Map<InstanceId, Peer> peers = new HashMap<>();
  private final Map<Long, RelayedCall> relayedCalls = new HashMap<>();
  private LinkNetwork network;
  private BooleanSupplier directPathUp;
  private boolean linkAllPeers;
  private long lastCallNumber;

  /** Receives the events of peers. */
  public interface PeerListener {

    /** Called when a link that this process opened has been established. */
    void onUp(InstanceId peer);

    /** Called when a peer has become unreachable or its record has been deleted. */
    void onLost(InstanceId peer, String why);

    /** Called when a record of this process, its former runs or its deletion has been read. */
    void onOwnRecord(StoredRecord stored) throws InvalidProtocolBufferException;

    /** Called for each frame on an opened link that the mesh doesn't handle itself. */
    void onFrame(InstanceId peer, LinkFrame frame);
  }

  private static final class Peer {
    private final InstanceId id;
    private NodeRecord node;
    private Link link;
    private boolean shouldLink;
    private boolean connecting;
    private boolean linkFailed;
    private RelayPeers.Path storePath = RelayPeers.Path.UNKNOWN;
    private boolean reportedUp;
    private boolean connectionRefused;
    private Duration lastReceivedAt = Duration.ZERO;
    private Duration lastPingAt = Duration.ZERO;
    private Duration lastAttemptAt = Duration.ZERO;
    private Duration runKnownSince = Duration.ZERO;

    private Peer(InstanceId id) {
      this.id = id;
    }

    private boolean reachesStore() {
      return link != null && storePath == RelayPeers.Path.OPEN;
    }

    private void setStorePath(boolean open) {
      storePath = open ? RelayPeers.Path.OPEN : RelayPeers.Path.SHUT;
    }

    private void closeLink() {
      Link old = link;
      link = null;
      storePath = RelayPeers.Path.UNKNOWN;
      old.close();
    }
  }

  /** A store call that a peer makes on behalf of this process. */
  private record RelayedCall(Peer peer, CompletableFuture<StoreReply> reply) {}

  /** Creates a mesh without peers. */
  public PeerMesh(InstanceId self, DecisionLoop loop, Clock clock, PeerListener listener) {
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
  public void start(LinkNetwork links, BooleanSupplier reachesStore) {
    network = links;
    directPathUp = reachesStore;
    loop.every(CHECK_PERIOD, this::checkLinks);
  }

  @Override
  public void onSnapshot(Snapshot snapshot) {
    Set<String> present = snapshot.keys();
    snapshot.forEach(snapshot.records(), this::onRecord);
    List.copyOf(peers.values()).stream()
        .filter(p -> !present.contains(p.id.value()))
        .forEach(p -> remove(p.id));
  }

  @Override
  public void onRecord(StoredRecord stored) {
    try {
      InstanceId id = new InstanceId(stored.key());
      if (id.equals(self)) {
        listener.onOwnRecord(stored);
        return;
      }
      if (stored.isTombstone()) {
        remove(id);
        return;
      }
      NodeRecord node = NodeRecord.parseFrom(stored.value());
      checkUsable(node);
      putPeer(id, node);
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      EventLog.warn(LogEvent.RECORD_SKIPPED, "key", stored.key(), "why", e.getMessage());
    }
  }

  /** Sets whether to link all gateways, or only those that are used as a path to the store. */
  public void linkAll(boolean all) {
    linkAllPeers = all;
    chooseRelays();
    checkLinks();
  }

  /** Returns the linked peers with their zones and CPU capacities. */
  public Map<InstanceId, PlacementPort.Runner> linkedPeers() {
    Map<InstanceId, PlacementPort.Runner> out = new HashMap<>();
    peers.values().stream().filter(p -> p.link != null).forEach(p -> out.put(p.id, runner(p)));
    return out;
  }

  private static PlacementPort.Runner runner(Peer p) {
    return new PlacementPort.Runner(p.id, new Zone(p.node.getZone()), p.node.getMilliCores());
  }

  /** Returns transports to the store through those relay peers that reach it. */
  public List<StoreTransport> relayTransports() {
    return peers.values().stream()
        .filter(p -> p.shouldLink && p.reachesStore())
        .sorted(Comparator.comparing(p -> p.id))
        .map(p -> (StoreTransport) call -> relay(p, call))
        .toList();
  }

  /** Sends a frame to a peer; drops it if there is no link. */
  public void send(InstanceId id, LinkFrame frame) {
    Peer peer = peers.get(id);
    if (peer != null && peer.link != null) {
      peer.link.send(frame);
    }
  }

  /**
   * Returns the preferred next holder of the lease: of the linked peers that reach the store, one
   * that may issue orders at once rather than one that has just started, and of these the one with
   * the most CPU.
   */
  public Optional<InstanceId> heir() {
    Duration now = clock.elapsed();
    Comparator<Peer> byReadiness =
        Comparator.comparing(p -> now.minus(p.runKnownSince).compareTo(HEIR_RUN_TIME) >= 0);
    return peers.values().stream()
        .filter(Peer::reachesStore)
        .max(byReadiness.thenComparing(p -> p.node.getMilliCores()).thenComparing(p -> p.id))
        .map(p -> p.id);
  }

  /**
   * Returns whether the given incarnation of a process is known to have ended, because a newer one
   * has written its record. A refused connection doesn't prove it: a path that resets connections
   * refuses those to a process that is still running.
   */
  public boolean hasEnded(InstanceId id, Incarnation incarnation) {
    Peer peer = peers.get(id);
    return peer != null
        && peer.node != null
        && !peer.node.getIncarnation().equals(incarnation.value());
  }

  /**
   * Returns whether the given incarnation of a process has probably ended: its instance refused the
   * last connection.
   */
  public boolean seemsEnded(InstanceId id, Incarnation incarnation) {
    Peer peer = peers.get(id);
    return hasEnded(id, incarnation) || (peer != null && peer.connectionRefused);
  }

  /** Called when a link that this process opened has been established. */
  void onUp(Link link) {
    Peer peer = peers.get(new InstanceId(link.peer().getInstance()));
    if (peer == null || peer.link != null) {
      link.close();
      return;
    }
    peer.connectionRefused = false;
    peer.linkFailed = false;
    peer.link = link;
    peer.reportedUp = true;
    peer.lastReceivedAt = clock.elapsed();
    ping(peer);
    listener.onUp(peer.id);
  }

  /** Called when a link that this process opened has been closed. */
  void onDown(Link link) {
    Peer peer = peers.get(new InstanceId(link.peer().getInstance()));
    if (peer != null && peer.link == link) {
      peer.closeLink();
      connect(peer);
    }
  }

  /** Called for each frame on a link that this process opened. */
  void onFrame(Link link, LinkFrame frame) {
    Peer peer = peers.get(new InstanceId(link.peer().getInstance()));
    if (peer == null || peer.link != link) {
      return;
    }
    peer.lastReceivedAt = clock.elapsed();
    switch (frame.getBodyCase()) {
      case PONG -> peer.setStorePath(frame.getPong().getStoreReachable());
      case STORE_RELAY_REPLY -> onReply(peer, frame.getStoreRelayReply());
      default -> listener.onFrame(peer.id, frame);
    }
  }

  /**
   * Checks the fields that are used later for all peers together.
   *
   * @throws IllegalArgumentException if the address or the zone is malformed
   */
  private static void checkUsable(NodeRecord node) {
    SocketAddressText.parse(node.getAddress());
    new Zone(node.getZone());
  }

  private void putPeer(InstanceId id, NodeRecord node) {
    Peer peer = peers.computeIfAbsent(id, Peer::new);
    if (peer.node != null && isOutdated(node, peer.node.getStartedMillis())) {
      EventLog.warn(LogEvent.RECORD_SKIPPED, "key", id, "why", "written by a former run");
      return;
    }
    boolean restarted =
        peer.node != null && !peer.node.getIncarnation().equals(node.getIncarnation());
    if (restarted || peer.node == null) {
      peer.runKnownSince = clock.elapsed();
    }
    peer.node = node;
    peer.connectionRefused &= !restarted;
    peer.linkFailed &= !restarted;
    if (restarted && peer.link != null) {
      peer.closeLink();
    }
    chooseRelays();
  }

  /** Returns whether a record was written by a run that started before the given time. */
  static boolean isOutdated(NodeRecord node, long startedMillis) {
    return node.getStartedMillis() != 0 && node.getStartedMillis() < startedMillis;
  }

  private void remove(InstanceId id) {
    Peer peer = peers.remove(id);
    if (peer != null && peer.link != null) {
      peer.link.close();
    }
    if (peer != null && peer.reportedUp) {
      listener.onLost(id, "its record was deleted");
    }
    chooseRelays();
  }

  private void chooseRelays() {
    Set<InstanceId> relays =
        RelayPeers.choose(
            self,
            peers.values().stream().map(PeerMesh::candidate).toList(),
            !directPathUp.getAsBoolean());
    peers.values().forEach(p -> p.shouldLink = linkAllPeers || relays.contains(p.id));
  }

  private static RelayPeers.Candidate candidate(Peer peer) {
    return new RelayPeers.Candidate(
        peer.id, peer.linkFailed ? RelayPeers.Path.NO_LINK : peer.storePath);
  }

  private void checkLinks() {
    Duration now = clock.elapsed();
    chooseRelays();
    for (Peer p : List.copyOf(peers.values())) {
      if (p.link != null) {
        checkLink(p, now);
      } else if (p.shouldLink && now.minus(p.lastAttemptAt).compareTo(RECONNECT_PERIOD) > 0) {
        connect(p);
      }
      if (p.reportedUp
          && p.link == null
          && now.minus(p.lastReceivedAt).compareTo(LOST_TIMEOUT) > 0) {
        reportLost(p, "silent");
      }
    }
  }

  private void checkLink(Peer peer, Duration now) {
    if (!peer.shouldLink && !isRelaying(peer)) {
      peer.reportedUp = false;
      peer.closeLink();
    } else if (now.minus(peer.lastReceivedAt).compareTo(SILENCE_TIMEOUT) > 0) {
      EventLog.warn(LogEvent.LINK_SILENT, "peer", peer.id);
      peer.linkFailed = true;
      peer.closeLink();
    } else if (now.minus(peer.lastPingAt).compareTo(PING_PERIOD) >= 0) {
      ping(peer);
    }
  }

  private boolean isRelaying(Peer peer) {
    return relayedCalls.values().stream().anyMatch(r -> r.peer() == peer);
  }

  private void ping(Peer peer) {
    peer.lastPingAt = clock.elapsed();
    peer.link.send(LinkFrame.newBuilder().setPing(Ping.getDefaultInstance()).build());
  }

  private void connect(Peer peer) {
    if (!peer.shouldLink || peer.connecting || peer.link != null) {
      return;
    }
    peer.connecting = true;
    peer.lastAttemptAt = clock.elapsed();
    SocketAddressText address = SocketAddressText.parse(peer.node.getAddress());
    Callbacks.start(() -> network.open(address.host(), address.port()))
        .whenCompleteAsync(Callbacks.reported((ok, failure) -> onOpened(peer, failure)), loop);
  }

  private void onOpened(Peer peer, Throwable failure) {
    peer.connecting = false;
    if (failure == null) {
      return;
    }
    peer.linkFailed = true;
    peer.connectionRefused = isRefusal(failure);
    if (peer.connectionRefused && peer.reportedUp) {
      reportLost(peer, "connection refused");
    }
  }

  /**
   * Returns whether the connection was refused at once. Then the peer has probably ended, and its
   * items are placed again without waiting for the silence timeout; an item may run twice.
   */
  static boolean isRefusal(Throwable failure) {
    return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
  }

  private void reportLost(Peer peer, String why) {
    peer.reportedUp = false;
    listener.onLost(peer.id, why);
  }

  private CompletableFuture<StoreReply> relay(Peer peer, StoreCall call) {
    if (peer.link == null) {
      return CompletableFuture.failedFuture(new IllegalStateException("no link to the peer"));
    }
    long number = ++lastCallNumber;
    CompletableFuture<StoreReply> reply = new CompletableFuture<>();
    relayedCalls.put(number, new RelayedCall(peer, reply));
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
    RelayedCall call = relayedCalls.remove(number);
    if (call != null) {
      call.reply()
          .completeExceptionally(new IllegalStateException("the peer did not answer in time"));
    }
  }

  private void onReply(Peer peer, StoreRelayReply message) {
    RelayedCall call = relayedCalls.remove(message.getCall());
    if (call == null) {
      return;
    }
    if (message.getStatus() == 0) {
      peer.setStorePath(false);
      call.reply()
          .completeExceptionally(
              new IllegalStateException("the peer got no answer from the store"));
      return;
    }
    StoreReply answer = new StoreReply(message.getStatus(), message.getContent().toByteArray());
    peer.setStorePath(!answer.isRejected());
    call.reply().complete(answer);
  }
}
