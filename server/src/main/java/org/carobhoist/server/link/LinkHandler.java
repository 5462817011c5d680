package org.carobhoist.server.link;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.carobhoist.server.link.proto.Hello;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/** Exchanges hello frames with the peer, then passes its frames to the listener. */
final class LinkHandler extends SimpleChannelInboundHandler<LinkFrame> {

  static final int PROTOCOL_VERSION = 1;

  /**
   * Time limit for the peer's hello, which the peer sends as soon as it accepts the connection. It
   * is longer than the 1.7 s for which a peer may pause before it is treated as lost.
   */
  private static final Duration HELLO_TIMEOUT = Duration.ofSeconds(2);

  private final Hello self;
  private final LinkListener listener;
  private final boolean outgoing;
  private final CompletableFuture<Void> up;
  private Future<?> helloTimer = CompletableFuture.completedFuture(null);
  private Link link;

  /**
   * Creates the handler of a new connection.
   *
   * @param up completes after {@link LinkListener#onUp} was called, or fails when the link can no
   *     longer be established
   */
  LinkHandler(Hello self, LinkListener listener, boolean outgoing, CompletableFuture<Void> up) {
    this.self = self;
    this.listener = listener;
    this.outgoing = outgoing;
    this.up = up;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    ctx.writeAndFlush(LinkFrame.newBuilder().setHello(self).build());
    helloTimer =
        ctx.executor()
            .schedule(
                () -> abort(ctx, "no hello in time"),
                HELLO_TIMEOUT.toMillis(),
                TimeUnit.MILLISECONDS);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, LinkFrame frame) {
    if (link != null) {
      listener.onFrame(link, frame);
      return;
    }
    if (!frame.hasHello() || frame.getHello().getProtocol() != PROTOCOL_VERSION) {
      EventLog.warn(LogEvent.FRAME_DROPPED, "peer", ctx.channel().remoteAddress());
      abort(ctx, "first frame is not a hello of this protocol version");
      return;
    }
    helloTimer.cancel(false);
    link = new Link(ctx.channel(), frame.getHello(), outgoing);
    EventLog.info(LogEvent.LINK_UP, "peer", link.peer().getInstance(), "opened", outgoing);
    listener.onUp(link);
    up.complete(null);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (link != null) {
      EventLog.info(LogEvent.LINK_DOWN, "peer", link.peer().getInstance());
      listener.onDown(link);
      return;
    }
    abort(ctx, "connection closed before the peer's hello");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (link == null) {
      abort(ctx, cause.toString());
      return;
    }
    ctx.close();
  }

  /** Closes a connection on which no valid hello was received. */
  private void abort(ChannelHandlerContext ctx, String reason) {
    helloTimer.cancel(false);
    boolean first = up.completeExceptionally(new IOException(reason));
    if (first && outgoing) {
      EventLog.warn(LogEvent.LINK_NOT_UP, "peer", ctx.channel().remoteAddress(), "why", reason);
    }
    ctx.close();
  }
}
