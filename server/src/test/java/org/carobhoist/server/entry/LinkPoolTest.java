package org.carobhoist.server.entry;

import static com.google.common.truth.Truth.assertThat;

import com.linecorp.armeria.common.util.EventLoopGroups;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.membership.ListedInstance;
import org.carobhoist.core.settings.SocketAddressText;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.LinkListener;
import org.carobhoist.server.link.LinkNetwork;
import org.carobhoist.server.link.proto.Hello;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.logservice.InstanceList;
import org.carobhoist.server.runtime.DecisionLoop;
import org.carobhoist.server.runtime.SystemClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class LinkPoolTest {

  private static final String HOST = "127.0.0.1";
  private static final Zone ZONE = new Zone("a");

  /** Timeout of accepting and reading; far longer than the test normally takes. */
  private static final Duration LIMIT = Duration.ofSeconds(60);

  private final EventLoopGroup eventLoopGroup = EventLoopGroups.newEventLoopGroup(1, "pool-test");
  private final DecisionLoop loop = DecisionLoop.on(eventLoopGroup.next());

  @AfterEach
  void stop() {
    eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** Guards against leaking the connection when the peer never sends its hello. */
  @Test
  void connectionToUnresponsiveSidecarIsClosedBeforeReconnecting() throws IOException {
    try (ServerSocket acceptor = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
      acceptor.setSoTimeout((int) LIMIT.toMillis());
      start(new SingleSidecarList(acceptor.getLocalPort()));
      Socket firstConnection = acceptor.accept();
      firstConnection.setSoTimeout((int) LIMIT.toMillis());
      assertThat(firstConnection.getInputStream().readAllBytes()).isNotEmpty();
      acceptor.accept().close();
    }
  }

  private void start(InstanceList list) {
    LinkNetwork network =
        LinkNetwork.create(
            new SocketAddressText(HOST, 0),
            Hello.getDefaultInstance(),
            new NoOpLinkListener(),
            eventLoopGroup);
    InstanceId self = new InstanceId("self");
    new LinkPool(self, ZONE, loop, SystemClock.create(), list, new SplittableRandom(1))
        .start(network);
  }

  /** An instance list that contains one sidecar. */
  private record SingleSidecarList(int port) implements InstanceList {

    @Override
    public CompletableFuture<List<ListedInstance>> read() {
      InstanceId id = new InstanceId("sidecar");
      return CompletableFuture.completedFuture(
          List.of(new ListedInstance(id, "sidecar", ZONE, HOST, port, false, "service")));
    }

    @Override
    public CompletableFuture<Optional<ListedInstance>> read(InstanceId instance) {
      return read().thenApply(list -> Optional.of(list.get(0)));
    }
  }

  private static final class NoOpLinkListener implements LinkListener {

    @Override
    public void onUp(Link link) {}

    @Override
    public void onFrame(Link link, LinkFrame frame) {}

    @Override
    public void onDown(Link link) {}
  }
}
