package org.carobhoist.server.link;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.carobhoist.server.link.proto.Hello;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/** Exchanges hellos, then hands frames to the listener. */
final class LinkHandler extends SimpleChannelInboundHandler<LinkFrame> {

  static final int PROTOCOL = 1;

  private final Hello self;
  private final LinkListener listener;
  private final boolean opened;
  private Link link;

  LinkHandler(Hello self, LinkListener listener, boolean opened) {
    this.self = self;
    this.listener = listener;
    this.opened = opened;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    ctx.writeAndFlush(LinkFrame.newBuilder().setHello(self).build());
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, LinkFrame frame) {
    if (link != null) {
      listener.onFrame(link, frame);
      return;
    }
    if (!frame.hasHello() || frame.getHello().getProtocol() != PROTOCOL) {
      EventLog.warn(LogEvent.FRAME_DROPPED, "peer", ctx.channel().remoteAddress());
      ctx.close();
      return;
    }
    link = new Link(ctx.channel(), frame.getHello(), opened);
    EventLog.info(LogEvent.LINK_UP, "peer", link.peer().getInstance());
    listener.onUp(link);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (link != null) {
      EventLog.info(LogEvent.LINK_DOWN, "peer", link.peer().getInstance());
      listener.onDown(link);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
