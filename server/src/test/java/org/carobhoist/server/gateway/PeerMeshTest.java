package org.carobhoist.server.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.linecorp.armeria.common.util.EventLoopGroups;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.settings.SocketAddressText;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.LinkListener;
import org.carobhoist.server.link.LinkNetwork;
import org.carobhoist.server.link.proto.Hello;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.runtime.DecisionLoop;
import org.carobhoist.server.runtime.SuspendAwareClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The mesh with real connections to peers that do as a test wants. */
final class PeerMeshTest {

  private final EventLoopGroup thread = EventLoopGroups.newEventLoopGroup(1, "mesh-test");
  private final DecisionLoop loop = DecisionLoop.on(thread.next());
  private final PeerMesh mesh =
      new PeerMesh(new InstanceId("self"), loop, SuspendAwareClock.create(), new NoListener());
  private final LinkNetwork network =
      LinkNetwork.create(
          new SocketAddressText("127.0.0.1", 0),
          Hello.newBuilder().setInstance("self").build(),
          new ToMesh(),
          thread);

  @BeforeEach
  void start() {
    loop.call(this::startMesh).join();
  }

  @AfterEach
  void stop() {
    thread.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Test
  void peerThatClosesTheFirstConnectionBeforeItsHelloIsTriedAgain() throws IOException {
    try (RawPeer peer = new RawPeer("peer")) {
      enter(peer.record(0));
      peer.accept().close();
      assertLinked(peer);
    }
  }

  @Test
  void peerThatKeepsSilentOnTheFirstConnectionIsTriedAgain() throws IOException {
    try (RawPeer peer = new RawPeer("peer")) {
      enter(peer.record(0));
      try (Socket silent = peer.accept()) {
        assertLinked(peer);
        assertThat(RawPeer.isUsed(silent)).isFalse();
      }
    }
  }

  private static void assertLinked(RawPeer peer) throws IOException {
    try (Socket next = peer.accept()) {
      peer.sayHello(next);
      assertThat(RawPeer.isUsed(next)).isTrue();
    }
  }

  private void enter(StoredRecord record) {
    loop.execute(() -> mesh.onRecord(record));
  }

  private boolean startMesh() {
    mesh.start(network);
    return true;
  }

  /** Hands what happens on links to the mesh, as a process does. */
  private final class ToMesh implements LinkListener {

    @Override
    public void onUp(Link link) {
      loop.execute(() -> mesh.onUp(link));
    }

    @Override
    public void onFrame(Link link, LinkFrame frame) {
      loop.execute(() -> mesh.onFrame(link, frame));
    }

    @Override
    public void onDown(Link link) {
      loop.execute(() -> mesh.onDown(link));
    }
  }

  private static final class NoListener implements PeerMesh.PeerListener {

    @Override
    public void onUp(InstanceId peer) {}

    @Override
    public void onLost(InstanceId peer, String why) {}

    @Override
    public void onFrame(InstanceId peer, LinkFrame frame) {}
  }
}
