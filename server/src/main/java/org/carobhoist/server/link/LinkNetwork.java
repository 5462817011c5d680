package org.carobhoist.server.link;

import com.linecorp.armeria.common.util.TransportType;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.carobhoist.core.settings.SocketAddressText;
import org.carobhoist.server.link.proto.Hello;
import org.carobhoist.server.runtime.Service;

/** Accepts and opens links. All links of a process share the threads of its network. */
public final class LinkNetwork implements Service {

  private static final int MAX_FRAME_BYTES = 32 * 1024 * 1024;
  private static final int LENGTH_BYTES = 4;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int IO_THREADS = 2;

  private final SocketAddressText address;
  private final Hello self;
  private final LinkListener listener;
  private final EventLoopGroup group;
  private final boolean ownsGroup;
  private Channel acceptor;

  private LinkNetwork(
      SocketAddressText address,
      Hello self,
      LinkListener listener,
      EventLoopGroup group,
      boolean ownsGroup) {
    this.address = address;
    this.self = self.toBuilder().setProtocol(LinkHandler.PROTOCOL_VERSION).build();
    this.listener = listener;
    this.group = group;
    this.ownsGroup = ownsGroup;
  }

  /**
   * Creates a network, which must be started before it accepts links.
   *
   * @param address the listen address
   * @param self the hello that this process sends to its peers
   * @param listener receives the events of all links, both accepted and opened
   */
  public static LinkNetwork create(SocketAddressText address, Hello self, LinkListener listener) {
    EventLoopGroup ownGroup =
        new NioEventLoopGroup(IO_THREADS, new DefaultThreadFactory("link", true));
    return new LinkNetwork(address, self, listener, ownGroup, true);
  }

  /**
   * Creates a network that runs on threads owned by the caller. It must be started before it
   * accepts links.
   */
  public static LinkNetwork create(
      SocketAddressText address, Hello self, LinkListener listener, EventLoopGroup group) {
    return new LinkNetwork(address, self, listener, group, false);
  }

  @Override
  public CompletableFuture<Void> start() {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(TransportType.serverChannelType(group))
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                initializer(
                    () -> new LinkHandler(self, listener, false, new CompletableFuture<>())));
    CompletableFuture<Void> done = new CompletableFuture<>();
    bootstrap
        .bind(address.host(), address.port())
        .addListener(
            (ChannelFuture f) -> {
              if (f.isSuccess()) {
                acceptor = f.channel();
                done.complete(null);
              } else {
                done.completeExceptionally(f.cause());
              }
            });
    return done;
  }

  @Override
  public CompletableFuture<Void> stop() {
    if (!ownsGroup) {
      closeAcceptor();
      return CompletableFuture.completedFuture(null);
    }
    CompletableFuture<Void> done = new CompletableFuture<>();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).addListener(future -> done.complete(null));
    return done;
  }

  /** Stops accepting links; established links stay open. */
  public void closeAcceptor() {
    if (acceptor != null) {
      acceptor.close();
    }
  }

  /**
   * Opens a link. The future completes when the link is established and the listener was notified.
   * It fails if the connection can't be made, or if it is closed or times out before the peer's
   * hello.
   */
  public CompletableFuture<Void> open(String host, int port) {
    CompletableFuture<Void> up = new CompletableFuture<>();
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(TransportType.socketChannelType(group))
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(initializer(() -> new LinkHandler(self, listener, true, up)));
    bootstrap
        .connect(host, port)
        .addListener(
            (ChannelFuture f) -> {
              if (!f.isSuccess()) {
                up.completeExceptionally(f.cause());
              }
            });
    return up;
  }

  private ChannelInitializer<SocketChannel> initializer(Supplier<LinkHandler> handler) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel ch) {
        ch.pipeline()
            .addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, 4))
            .addLast(new LengthFieldPrepender(LENGTH_BYTES))
            .addLast(new LinkFrameCodec())
            .addLast(handler.get());
      }
    };
  }
}
