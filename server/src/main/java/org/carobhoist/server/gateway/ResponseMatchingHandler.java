package org.carobhoist.server.gateway;

import com.linecorp.armeria.client.Endpoint;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.netty.util.NetUtil;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;
import org.carobhoist.core.request.CarriedRequestIds;
import org.carobhoist.platform.CallHeaders;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/**
 * Passes on only responses that bear the id of the request that awaits one and are not joined with
 * an earlier response. Any other response means that the connection is out of step, so it is closed
 * before a further request can be sent on it, and the request that awaits its response fails.
 */
final class ResponseMatchingHandler extends ChannelDuplexHandler {

  private static final AttributeKey<CarriedRequestIds.Connection> CONNECTION =
      AttributeKey.valueOf(ResponseMatchingHandler.class, "connection");

  /** Maximum number of informational responses to one request. */
  private static final int MAX_INFORMATIONAL_RESPONSES = 32;

  private final CarriedRequestIds.Connection connection;
  private final Consumer<String> outOfStepListener;
  private boolean informational;
  private int informationalCount;
  private boolean outOfStep;
  private int status;
  private Optional<EmbeddedResponseDetector> body = Optional.empty();
  private LastHttpContent heldEnd;

  /**
   * Creates a handler that is to be placed behind the HTTP codec.
   *
   * @param outOfStepListener receives the server's address if the connection is out of step
   */
  ResponseMatchingHandler(
      CarriedRequestIds.Connection connection, Consumer<String> outOfStepListener) {
    this.connection = connection;
    this.outOfStepListener = outOfStepListener;
  }

  /**
   * Adds the handler to a new connection as soon as the connection has its HTTP codec.
   *
   * @param outOfStepListener receives the addresses of servers whose connections are out of step
   */
  static void addTo(
      ChannelPipeline pipeline, CarriedRequestIds ids, Consumer<String> outOfStepListener) {
    pipeline.addFirst(new Installer(ids, outOfStepListener));
  }

  /** Returns the name of a connection in the log, or an empty string if it isn't established. */
  static String connectionName(Channel channel) {
    CarriedRequestIds.Connection connection = channel.attr(CONNECTION).get();
    return connection == null ? "" : connection.toString();
  }

  /**
   * Returns the form of an address in which connections are compared.
   *
   * @param address an IP address and a port
   */
  static String canonicalAddress(String address) {
    return canonicalAddress(Endpoint.parse(address).toSocketAddress(-1));
  }

  private static String canonicalAddress(InetSocketAddress address) {
    return NetUtil.toSocketAddressString(address);
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest request
        && !connection.onRequest(CallHeaders.requestId(request.headers()))) {
      ReferenceCountUtil.release(message);
      EventLog.warn(
          LogEvent.REQUEST_ID_REPEATED,
          "request",
          CallHeaders.requestId(request.headers()),
          "address",
          connection.address(),
          "connection",
          connection);
      promise.tryFailure(new IOException("the connection has carried a request with this id"));
      ctx.close();
      return;
    }
    ctx.write(message, promise);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof HttpResponse response && !outOfStep) {
      checkEndBefore(ctx, response);
      checkResponse(ctx, response);
    }
    if (message instanceof HttpContent content && !outOfStep) {
      checkBody(ctx, content);
    }
    if (outOfStep) {
      ReferenceCountUtil.release(message);
    } else if (message instanceof LastHttpContent end && !informational) {
      onEnd(ctx, end);
    } else {
      ctx.fireChannelRead(message);
    }
  }

  /** Holds the end of a body whose last bytes may belong to a second response. */
  private void onEnd(ChannelHandlerContext ctx, LastHttpContent end) {
    heldEnd = end;
    if (body.isEmpty() || !body.get().isInHead()) {
      passEnd(ctx);
    }
  }

  private void passEnd(ChannelHandlerContext ctx) {
    connection.onResponseEnd();
    informationalCount = 0;
    LastHttpContent end = heldEnd;
    heldEnd = null;
    ctx.fireChannelRead(end);
  }

  /** Decides on an end that is held: what can't be decoded goes on with the body's last bytes. */
  private void checkEndBefore(ChannelHandlerContext ctx, HttpResponse next) {
    if (heldEnd == null) {
      return;
    }
    if (next.decoderResult().isSuccess()) {
      passEnd(ctx);
      return;
    }
    logJoined("a second response from the end of the body on");
    closeOutOfStep(ctx);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (heldEnd != null) {
      passEnd(ctx);
    }
    ctx.fireChannelReadComplete();
  }

  private void checkResponse(ChannelHandlerContext ctx, HttpResponse response) {
    if (outOfStep) {
      return;
    }
    status = response.status().code();
    informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    informationalCount += informational ? 1 : 0;
    String id = CallHeaders.requestId(response.headers());
    Optional<String> defect = JoinedHeads.findDefect(response);
    if (defect.isPresent()) {
      logJoined(defect.get());
      closeOutOfStep(ctx);
    } else if (response.decoderResult().isFailure() || !isExpected(id)) {
      logUnexpected(id, response.decoderResult());
      closeOutOfStep(ctx);
    } else {
      body = bodyDetector(id);
    }
  }

  private boolean isExpected(String id) {
    return informational
        ? informationalCount <= MAX_INFORMATIONAL_RESPONSES
        : connection.isAwaited(id);
  }

  private void closeOutOfStep(ChannelHandlerContext ctx) {
    outOfStep = true;
    ReferenceCountUtil.release(heldEnd);
    heldEnd = null;
    // A head that ends with its connection is that of a server that broke off, not out of step.
    if (ctx.channel().isActive()) {
      outOfStepListener.accept(connection.address());
    }
    ctx.close();
  }

  private void logUnexpected(String id, DecoderResult result) {
    EventLog.warn(
        LogEvent.RESPONSE_UNEXPECTED,
        "request",
        connection.awaitedId(),
        "response",
        id,
        "status",
        status,
        "malformed",
        result.isFailure(),
        "why",
        result.isFailure() ? result.cause() : "",
        "address",
        connection.address(),
        "connection",
        connection);
  }

  private Optional<EmbeddedResponseDetector> bodyDetector(String id) {
    return informational || id.isEmpty()
        ? Optional.empty()
        : Optional.of(EmbeddedResponseDetector.forRequest(id));
  }

  private void checkBody(ChannelHandlerContext ctx, HttpContent content) {
    if (body.isPresent() && body.get().feed(content.content())) {
      logJoined("a second response in the body");
      closeOutOfStep(ctx);
    }
  }

  private void logJoined(String why) {
    EventLog.warn(
        LogEvent.RESPONSE_JOINED,
        "request",
        connection.awaitedId(),
        "status",
        status,
        "why",
        why,
        "address",
        connection.address(),
        "connection",
        connection);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (heldEnd != null) {
      passEnd(ctx);
    }
    connection.close();
    ctx.fireChannelInactive();
  }

  /** Waits for the codec, which the client library adds once it knows the protocol. */
  private static final class Installer extends ChannelInboundHandlerAdapter {

    private final CarriedRequestIds ids;
    private final Consumer<String> outOfStepListener;

    private Installer(CarriedRequestIds ids, Consumer<String> outOfStepListener) {
      this.ids = ids;
      this.outOfStepListener = outOfStepListener;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      ChannelPipeline pipeline = ctx.pipeline();
      ChannelHandlerContext codec = pipeline.context(HttpClientCodec.class);
      if (codec != null) {
        InetSocketAddress server = (InetSocketAddress) ctx.channel().remoteAddress();
        if (server == null) {
          ctx.close();
          return;
        }
        CarriedRequestIds.Connection connection = ids.open(canonicalAddress(server));
        ctx.channel().attr(CONNECTION).set(connection);
        pipeline.addBefore(
            codec.name(), null, new UnawaitedBytesHandler(connection, outOfStepListener));
        pipeline.addAfter(
            codec.name(), null, new ResponseMatchingHandler(connection, outOfStepListener));
        pipeline.remove(this);
      }
      ctx.fireUserEventTriggered(event);
    }
  }
}
