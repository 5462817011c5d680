package org.carobhoist.server.runtime;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpClientCodec;
import java.io.IOException;

/**
 * Makes a response fail if its connection is reset. The end of a response without a content length
 * is marked by the end of its connection, and the HTTP codec accepts any end as such. Therefore
 * this handler removes the codec before it is notified of an end that follows an I/O error.
 */
public final class ConnectionResetHandler extends ChannelInboundHandlerAdapter {

  private boolean reset;

  private ConnectionResetHandler() {}

  /** Adds this handler in front of the codec of a new connection. */
  public static void addTo(ChannelPipeline pipeline) {
    pipeline.addFirst(new ConnectionResetHandler());
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
