package org.carobhoist.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.carobhoist.core.request.CarriedRequestIds;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/**
 * Logs bytes that a server sends while no response is awaited on the connection. It belongs in
 * front of the HTTP codec, which keeps the beginning of a response without any notice.
 */
final class UnawaitedBytesHandler extends ChannelInboundHandlerAdapter {

  private final CarriedRequestIds.Connection connection;

  UnawaitedBytesHandler(CarriedRequestIds.Connection connection) {
    this.connection = connection;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof ByteBuf bytes && !connection.isAwaiting()) {
      EventLog.warn(
          LogEvent.BYTES_UNAWAITED,
          "bytes",
          bytes.readableBytes(),
          "address",
          connection.address(),
          "connection",
          connection);
      bytes.release();
      ctx.close();
      return;
    }
    ctx.fireChannelRead(message);
  }
}
