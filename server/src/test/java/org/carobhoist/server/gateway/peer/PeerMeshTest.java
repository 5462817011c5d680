package org.carobhoist.server.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import com.linecorp.armeria.common.util.EventLoopGroups;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.Socket;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.settings.SocketAddressText;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.LinkListener;
import org.carobhoist.server.link.LinkNetwork;
import org.carobhoist.server.link.proto.Hello;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.link.proto.NodeRecord;
import org.carobhoist.server.link.proto.Pong;
import org.carobhoist.server.runtime.DecisionLoop;
import org.carobhoist.server.runtime.SuspendAwareClock;
import org.carobhoist.standin.LoopbackPorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the mesh over real connections to peers that the test controls. */
final class PeerMeshTest {

  /** Interval of the pings by which a peer reports whether it reaches the store. */
  private static final Duration PING_PERIOD = Duration.ofMillis(500);

  private final EventLoopGroup thread = EventLoopGroups.newEventLoopGroup(1, "mesh-test");
  private final DecisionLoop loop = DecisionLoop.on(thread.next());
  private final BlockingQueue<String> ups = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> downs = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> pongs = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> lost = new LinkedBlockingQueue<>();
  private final LinkNetwork network =
      LinkNetwork.create(
          new SocketAddressText("127.0.0.1", 0),
          Hello.newBuilder().setInstance("self").build(),
          new MeshForwarder(),
          thread);

  private volatile boolean directPathUp = true;
  private PeerMesh mesh;

  private void start(Clock clock) {
    mesh = new PeerMesh(new InstanceId("self"), loop, clock, new UpListener());
    loop.execute(() -> mesh.start(network, () -> directPathUp));
  }

  @AfterEach
  void stop() {
    thread.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Test
  void reconnectsToPeerThatClosedTheConnectionBeforeItsHello() throws IOException {
    start(SuspendAwareClock.create());
    try (RawPeer peer = new RawPeer("peer")) {
      putRecord(peer.record(0));
      peer.accept().close();
      assertLinked(peer);
    }
  }

  @Test
  void reconnectsToPeerThatSentNoHello() throws IOException {
    start(SuspendAwareClock.create());
    try (RawPeer peer = new RawPeer("peer")) {
      putRecord(peer.record(0));
      try (Socket silent = peer.accept()) {
        assertLinked(peer);
        assertThat(RawPeer.receivesPing(silent)).isFalse();
      }
    }
  }

  @Test
  void linksFurtherPeersWhileTheLinkedOnesCannotReachTheStore() throws InterruptedException {
    ManualClock clock = new ManualClock();
    start(clock);
    Map<String, StorePeer> peers = new HashMap<>();
    for (String name : List.of("a", "b", "c", "d", "e")) {
      StorePeer peer = new StorePeer(name);
      peers.put(name, peer);
      putRecord(peer.record);
    }
    List<String> initial = List.of(next(ups), next(ups));
    initial.forEach(name -> peers.get(name).reachesStore = false);
    directPathUp = false;
    clock.elapsed = clock.elapsed.plus(PING_PERIOD);
    Set<String> additional = new HashSet<>(List.of(next(ups), next(ups)));
    assertThat(linkedPeers()).hasSize(4);
    awaitPongs(additional);
    assertThat(loop.call(() -> mesh.relayTransports().size()).join()).isEqualTo(2);
    directPathUp = true;
    assertThat(Set.of(next(downs), next(downs))).isEqualTo(additional);
    assertThat(linkedPeers()).isEqualTo(Set.copyOf(initial));
  }

  @Test
  void skipsRecordsWithoutUsableAddressOrZone() throws IOException {
    start(SuspendAwareClock.create());
    NodeRecord withoutAddress = NodeRecord.newBuilder().setAddress("nowhere").setZone("a").build();
    NodeRecord withoutZone = NodeRecord.newBuilder().setAddress("127.0.0.1:1").build();
    putRecord(new StoredRecord(0, "odd-1", withoutAddress.toByteArray()));
    putRecord(new StoredRecord(1, "odd-2", withoutZone.toByteArray()));
    loop.execute(() -> mesh.linkAll(true));
    try (RawPeer peer = new RawPeer("peer")) {
      putRecord(peer.record(2));
      assertLinked(peer);
    }
    Incarnation former = new Incarnation("former");
    for (String odd : List.of("odd-1", "odd-2")) {
      assertThat(loop.call(() -> mesh.hasEnded(new InstanceId(odd), former)).join()).isFalse();
    }
  }

  @Test
  void heirIsProcessThatHasRunLongRatherThanRestartedOne() throws InterruptedException {
    ManualClock clock = new ManualClock();
    start(clock);
    StorePeer longRunning = new StorePeer("a");
    putRecord(longRunning.record);
    next(ups);
    for (int i = 0; i < 10; i++) {
      clock.elapsed = clock.elapsed.plus(PING_PERIOD);
      awaitPongs(Set.of("a"));
    }
    StorePeer restarted = new StorePeer("b");
    putRecord(restarted.record);
    next(ups);
    awaitPongs(Set.of("b"));
    assertThat(loop.call(mesh::heir).join().map(InstanceId::value)).hasValue("a");
  }

  private Set<String> linkedPeers() {
    return loop.call(mesh::linkedPeers).join().keySet().stream()
        .map(InstanceId::value)
        .collect(Collectors.toSet());
  }

  private void awaitPongs(Set<String> names) throws InterruptedException {
    Set<String> missing = new HashSet<>(names);
    while (!missing.isEmpty()) {
      missing.remove(next(pongs));
    }
  }

  private static String next(BlockingQueue<String> names) throws InterruptedException {
    String name = names.poll(RawPeer.TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    return Objects.requireNonNull(name, "no event within the time limit");
  }

  private static void assertLinked(RawPeer peer) throws IOException {
    try (Socket next = peer.accept()) {
      peer.sayHello(next);
      assertThat(RawPeer.receivesPing(next)).isTrue();
    }
  }

  private void putRecord(StoredRecord record) {
    loop.execute(() -> mesh.onRecord(record));
  }

  /** Passes link events to the mesh, as {@link PeerLinkHandler} does. */
  private final class MeshForwarder implements LinkListener {

    @Override
    public void onUp(Link link) {
      loop.execute(() -> mesh.onUp(link));
    }

    @Override
    public void onFrame(Link link, LinkFrame frame) {
      loop.execute(
          () -> {
            mesh.onFrame(link, frame);
            if (frame.hasPong()) {
              pongs.add(link.peer().getInstance());
            }
          });
    }

    @Override
    public void onDown(Link link) {
      loop.execute(() -> mesh.onDown(link));
    }
  }

  /** Advances only by hand, so that no peer times out on a busy machine. */
  private static final class ManualClock implements Clock {

    private volatile Duration elapsed = Duration.ofSeconds(10);

    @Override
    public Instant now() {
      return Instant.EPOCH;
    }

    @Override
    public Duration elapsed() {
      return elapsed;
    }
  }

  private final class UpListener implements PeerMesh.PeerListener {

    @Override
    public void onUp(InstanceId peer) {
      ups.add(peer.value());
    }

    @Override
    public void onLost(InstanceId peer, String why) {
      lost.add(peer.value() + ": " + why);
    }

    @Override
    public void onOwnRecord(StoredRecord stored) {}

    @Override
    public void onFrame(InstanceId peer, LinkFrame frame) {}
  }

  /** A peer that reports whether it reaches the store, as the test sets it. */
  private final class StorePeer implements LinkListener {

    private final String name;
    private final StoredRecord record;
    private volatile boolean reachesStore = true;

    private StorePeer(String name) {
      this.name = name;
      SocketAddressText address = new SocketAddressText("127.0.0.1", LoopbackPorts.next());
      NodeRecord node = NodeRecord.newBuilder().setAddress(address.toString()).setZone("a").build();
      this.record = new StoredRecord(0, name, node.toByteArray());
      Hello hello = Hello.newBuilder().setInstance(name).build();
      LinkNetwork.create(address, hello, this, thread).start().join();
    }

    @Override
    public void onUp(Link link) {}

    @Override
    public void onFrame(Link link, LinkFrame frame) {
      Pong pong = Pong.newBuilder().setStoreReachable(reachesStore).build();
      link.send(LinkFrame.newBuilder().setPong(pong).build());
    }

    @Override
    public void onDown(Link link) {
      downs.add(name);
    }
  }

  /** Guards against two holders of the lease: a path that resets connections refuses them too. */
  @Test
  void refusedConnectionDoesNotProveThatTheProcessHasEnded() throws Exception {
    start(SuspendAwareClock.create());
    StoredRecord peerRecord;
    try (RawPeer peer = new RawPeer("peer")) {
      peerRecord = peer.record(0);
      putRecord(peerRecord);
      try (Socket link = peer.accept()) {
        peer.sayHello(link);
        assertThat(next(ups)).isEqualTo("peer");
      }
    }
    assertThat(next(lost)).isEqualTo("peer: connection refused");
    Incarnation refused = new Incarnation("peer-1");
    InstanceId peer = new InstanceId("peer");
    assertThat(loop.call(() -> mesh.hasEnded(peer, refused)).join()).isFalse();
    assertThat(loop.call(() -> mesh.seemsEnded(peer, refused)).join()).isTrue();
    NodeRecord restarted =
        NodeRecord.parseFrom(peerRecord.value()).toBuilder().setIncarnation("peer-2").build();
    putRecord(new StoredRecord(1, "peer", restarted.toByteArray()));
    assertThat(loop.call(() -> mesh.hasEnded(peer, refused)).join()).isTrue();
  }

  /** Guards against two holders of the lease: the record of a former run may be stored late. */
  @Test
  void lateRecordOfFormerRunDoesNotProveThatTheNewOneHasEnded() throws Exception {
    start(SuspendAwareClock.create());
    try (RawPeer raw = new RawPeer("peer")) {
      NodeRecord former =
          NodeRecord.parseFrom(raw.record(0).value()).toBuilder().setStartedMillis(1_000).build();
      NodeRecord current =
          former.toBuilder().setIncarnation("peer-2").setStartedMillis(2_000).build();
      putRecord(new StoredRecord(0, "peer", current.toByteArray()));
      putRecord(new StoredRecord(1, "peer", former.toByteArray()));
    }
    InstanceId peer = new InstanceId("peer");
    assertThat(loop.call(() -> mesh.hasEnded(peer, new Incarnation("peer-2"))).join()).isFalse();
    assertThat(loop.call(() -> mesh.hasEnded(peer, new Incarnation("peer-1"))).join()).isTrue();
  }

  @Test
  void connectTimeoutIsNotTreatedAsRefusal() {
    assertThat(PeerMesh.isRefusal(new ConnectException("Connection refused"))).isTrue();
    assertThat(PeerMesh.isRefusal(new ConnectTimeoutException("timed out"))).isFalse();
    assertThat(PeerMesh.isRefusal(new NoRouteToHostException("no route"))).isFalse();
  }
}
