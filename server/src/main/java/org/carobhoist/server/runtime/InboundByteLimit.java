package org.carobhoist.server.runtime;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes a connection on which too many bytes have been received. Unlike a limit on the length of
 * the body, it covers what is not part of a body, such as informational responses.
 */
public final class InboundByteLimit extends ChannelInboundHandlerAdapter {

  private final long maxBytes;
  private long received;

  private InboundByteLimit(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Adds this handler in front of the codec of a new connection. */
  public static void addTo(ChannelPipeline pipeline, long maxBytes) {
    pipeline.addFirst(new InboundByteLimit(maxBytes));
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof ByteBuf bytes) {
      received += bytes.readableBytes();
    }
    if (received > maxBytes) {
      ReferenceCountUtil.release(message);
      ctx.close();
      return;
    }
    ctx.fireChannelRead(message);
  }
}
