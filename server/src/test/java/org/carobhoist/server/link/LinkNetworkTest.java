package org.carobhoist.server.link;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.linecorp.armeria.common.util.EventLoopGroups;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.carobhoist.core.settings.SocketAddressText;
import org.carobhoist.server.link.proto.Hello;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.standin.LoopbackPorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class LinkNetworkTest {

  private static final String HOST = "127.0.0.1";

  private final List<String> establishedLinks = new CopyOnWriteArrayList<>();
  private final EventLoopGroup eventLoop = EventLoopGroups.newEventLoopGroup(1, "link-test");

  @AfterEach
  void stop() {
    eventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Test
  void openCompletesAfterListenerIsNotified() {
    int port = LoopbackPorts.next();
    network("b", port).start().join();
    network("a", 0).open(HOST, port).join();
    assertThat(establishedLinks).contains("a to b");
  }

  @Test
  void openFailsIfThePeerClosesBeforeItsHello() throws IOException {
    try (ServerSocket acceptor = acceptor()) {
      CompletableFuture<Void> open = network("a", 0).open(HOST, acceptor.getLocalPort());
      acceptor.accept().close();
      CompletionException failure = assertThrows(CompletionException.class, open::join);
      assertThat(failure).hasCauseThat().isInstanceOf(IOException.class);
      assertThat(failure).hasCauseThat().isNotInstanceOf(ConnectException.class);
    }
  }

  @Test
  void openFailsIfThePeerSendsNoHelloInTime() throws IOException {
    try (ServerSocket acceptor = acceptor()) {
      CompletableFuture<Void> open = network("a", 0).open(HOST, acceptor.getLocalPort());
      CompletionException failure = assertThrows(CompletionException.class, open::join);
      assertThat(failure).hasCauseThat().hasMessageThat().isEqualTo("no hello in time");
      assertThat(failure).hasCauseThat().isNotInstanceOf(ConnectException.class);
    }
  }

  private static ServerSocket acceptor() throws IOException {
    return new ServerSocket(0, 1, InetAddress.getByName(HOST));
  }

  private LinkNetwork network(String name, int port) {
    Hello self = Hello.newBuilder().setInstance(name).build();
    return LinkNetwork.create(
        new SocketAddressText(HOST, port), self, new LinkRecorder(name), eventLoop);
  }

  /** Records which process has a link to which peer. */
  private final class LinkRecorder implements LinkListener {

    private final String self;

    private LinkRecorder(String self) {
      this.self = self;
    }

    @Override
    public void onUp(Link link) {
      establishedLinks.add(self + " to " + link.peer().getInstance());
    }

    @Override
    public void onFrame(Link link, LinkFrame frame) {}

    @Override
    public void onDown(Link link) {}
  }
}
