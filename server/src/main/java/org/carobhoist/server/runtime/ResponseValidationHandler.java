package org.carobhoist.server.runtime;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.nio.ByteBuffer;
import org.carobhoist.core.http.MalformedResponseException;
import org.carobhoist.core.http.ResponseValidator;
import org.carobhoist.platform.CallHeaders;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/**
 * Closes a connection whose server sends a malformed response, before the HTTP codec reads the
 * malformed line. The codec repairs, shortens or drops many of them without notice, so that a check
 * of what it decodes would see another response than the server sent.
 *
 * <p>The request that awaits the response fails with a {@link MalformedResponseException}; as it
 * was sent, it may have run.
 */
public final class ResponseValidationHandler extends ChannelInboundHandlerAdapter {

  private final ResponseValidator validator = ResponseValidator.create();
  private String awaitedId = "";
  private boolean refused;

  private ResponseValidationHandler() {}

  /** Adds the handler to a new connection as soon as the connection has its HTTP/1 codec. */
  public static void addTo(ChannelPipeline pipeline) {
    pipeline.addFirst(new Installer());
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (refused) {
      ReferenceCountUtil.release(message);
    } else if (message instanceof ByteBuf bytes) {
      passOnValid(ctx, bytes);
    } else {
      ctx.fireChannelRead(message);
    }
  }

  private void passOnValid(ChannelHandlerContext ctx, ByteBuf bytes) {
    ByteBuffer unchecked = bytes.nioBuffer();
    int completeResponses = 0;
    try {
      while (unchecked.hasRemaining()) {
        if (validator.check(unchecked)) {
          completeResponses = unchecked.position();
          awaitedId = "";
        }
      }
    } catch (MalformedResponseException e) {
      refused = true;
      passOnStart(ctx, bytes, completeResponses);
      EventLog.warn(
          LogEvent.RESPONSE_MALFORMED,
          "request",
          awaitedId,
          "why",
          e.getMessage(),
          "address",
          ctx.channel().remoteAddress());
      ctx.fireExceptionCaught(e);
      ctx.close();
      return;
    }
    ctx.fireChannelRead(bytes);
  }

  /** Passes on the responses that were complete before the malformed line. */
  private static void passOnStart(ChannelHandlerContext ctx, ByteBuf bytes, int length) {
    if (length > 0) {
      ctx.fireChannelRead(bytes.readRetainedSlice(length));
    }
    bytes.release();
  }

  /** Observes the requests behind the codec. */
  private final class RequestObserver extends ChannelOutboundHandlerAdapter {

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      if (message instanceof HttpRequest request) {
        awaitedId = CallHeaders.requestId(request.headers());
        validator.onRequest(request.method().equals(HttpMethod.HEAD));
      }
      ctx.write(message, promise);
    }
  }

  /** Waits for the codec, which the client library adds once it knows the protocol. */
  private static final class Installer extends ChannelInboundHandlerAdapter {

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      ChannelPipeline pipeline = ctx.pipeline();
      ChannelHandlerContext codec = pipeline.context(HttpClientCodec.class);
      if (codec != null) {
        ResponseValidationHandler handler = new ResponseValidationHandler();
        pipeline.addBefore(codec.name(), null, handler);
        pipeline.addAfter(codec.name(), null, handler.new RequestObserver());
        pipeline.remove(this);
      }
      ctx.fireUserEventTriggered(event);
    }
  }
}
