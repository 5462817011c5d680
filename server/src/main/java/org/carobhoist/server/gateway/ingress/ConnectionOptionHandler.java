package org.carobhoist.server.gateway.ingress;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import org.carobhoist.platform.CallHeaders;

/**
 * Keeps the {@code Authorization} header of HTTP/1.1 requests whose {@code Connection} header names
 * it. Such a header is meant for this process and must not be forwarded, but the HTTP library drops
 * it before a request is dispatched, so that a valid key would be answered with 401.
 */
public final class ConnectionOptionHandler extends ChannelInboundHandlerAdapter {

  private ConnectionOptionHandler() {}

  /** Adds this handler to a new connection, behind the codec that the HTTP library adds later. */
  public static void addTo(ChannelPipeline pipeline) {
    pipeline.addFirst(new Installer());
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof HttpRequest request) {
      CallHeaders.keepHopByHopCredentials(request.headers());
    }
    ctx.fireChannelRead(message);
  }

  /**
   * Adds the handler once the library has detected the protocol and added its codec. The first
   * bytes are forwarded apart from the others: they suffice to detect HTTP/1.1, but not for a whole
   * request, so that the handler is added before the first request is decoded.
   */
  private static final class Installer extends ChannelInboundHandlerAdapter {

    private static final int FIRST_BYTES = 4;

    /** Length of the first line by which HTTP/2 is detected; it has no Connection header. */
    private static final int HTTP2_PREFACE_BYTES = 24;

    private int forwarded;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (message instanceof ByteBuf bytes) {
        int first = Math.min(FIRST_BYTES, bytes.readableBytes());
        forwarded += bytes.readableBytes();
        ctx.fireChannelRead(bytes.readRetainedSlice(first));
        install(ctx);
      }
      ctx.fireChannelRead(message);
    }

    private void install(ChannelHandlerContext ctx) {
      ChannelPipeline pipeline = ctx.pipeline();
      Optional<String> codec =
          pipeline.names().stream()
              .filter(name -> pipeline.get(name) instanceof CombinedChannelDuplexHandler)
              .findFirst();
      codec.ifPresent(name -> pipeline.addAfter(name, null, new ConnectionOptionHandler()));
      if (codec.isPresent() || forwarded >= HTTP2_PREFACE_BYTES) {
        pipeline.remove(this);
      }
    }
  }
}
