package org.carobhoist.server.gateway;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpClientCodec;
import java.io.IOException;

/**
 * Lets an answer that was reset on the way fail. An answer without a length ends with its
 * connection, and the codec takes any end for the answer's own; so it is taken out before it learns
 * of one that came with an error.
 */
final class ResetGuard extends ChannelInboundHandlerAdapter {

  private boolean reset;

  private ResetGuard() {}

  /** Puts a guard before the codec of a new connection. */
  static void addTo(ChannelPipeline pipeline) {
    pipeline.addFirst(new ResetGuard());
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    reset |= cause instanceof IOException;
    ctx.fireExceptionCaught(cause);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    ChannelPipeline pipeline = ctx.pipeline();
    if (reset && pipeline.get(HttpClientCodec.class) != null) {
      pipeline.remove(HttpClientCodec.class);
    }
    ctx.fireChannelInactive();
  }
}
