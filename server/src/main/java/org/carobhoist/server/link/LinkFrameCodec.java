package org.carobhoist.server.link;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageCodec;
import java.io.IOException;
import java.util.List;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/** Encodes and decodes link frames. Bytes that can't be decoded are dropped and logged. */
final class LinkFrameCodec extends MessageToMessageCodec<ByteBuf, LinkFrame> {

  @Override
  protected void encode(ChannelHandlerContext ctx, LinkFrame frame, List<Object> out)
      throws IOException {
    int size = frame.getSerializedSize();
    ByteBuf buffer = ctx.alloc().buffer(size);
    CodedOutputStream coded = CodedOutputStream.newInstance(buffer.nioBuffer(0, size));
    frame.writeTo(coded);
    coded.flush();
    out.add(buffer.writerIndex(size));
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> out)
      throws IOException {
    try {
      out.add(LinkFrame.parseFrom(new ByteBufInputStream(bytes)));
    } catch (InvalidProtocolBufferException e) {
      EventLog.warn(LogEvent.FRAME_DROPPED, "peer", ctx.channel().remoteAddress());
    }
  }
}
