package org.carobhoist.server.entry;

import com.google.protobuf.ByteString;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.common.stream.ClosedStreamException;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;
import org.carobhoist.core.common.RefusedException;
import org.carobhoist.core.common.Verdict;
import org.carobhoist.core.idempotency.RequestKey;
import org.carobhoist.core.request.RequestEvent;
import org.carobhoist.core.request.RequestPort;
import org.carobhoist.core.request.RequestStateMachine;
import org.carobhoist.core.request.ResponseFrameValidator;
import org.carobhoist.core.routing.EndpointView;
import org.carobhoist.core.routing.PromptPrefix;
import org.carobhoist.core.routing.RouteQuery;
import org.carobhoist.server.link.CallMapper;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.proto.CallCancel;
import org.carobhoist.server.link.proto.CallHead;
import org.carobhoist.server.link.proto.CallStart;
import org.carobhoist.server.link.proto.Header;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/**
 * One caller's request at an entry. {@link RequestStateMachine} makes the decisions; this class
 * carries them out on the links to the sidecars and on the HTTP response. Used on the decision
 * loop.
 */
final class EntryCall implements RequestPort {

  /** Hop-by-hop headers and Host, which are not forwarded in either direction. */
  private static final Set<String> UNFORWARDED_HEADERS =
      Set.of("connection", "transfer-encoding", "keep-alive", "upgrade", "te", "trailer", "host");

  /** Maximum time that a request with a key waits for the link to its endpoint. */
  private static final Duration LINK_WAIT_LIMIT = Duration.ofSeconds(2);

  private static final Duration LINK_POLL_PERIOD = Duration.ofMillis(100);

  private final CallContext context;
  private final CallRequest request;
  private final HttpResponseWriter out;
  private final RequestStateMachine run;
  private final PromptPrefix prefix;
  private final Duration expiry;
  private Runnable cancelTimer = () -> {};
  private Runnable removeFromDrain = () -> {};
  private Optional<RequestKey> key;
  private ResponseFrameValidator responseFrames = ResponseFrameValidator.create();
  private CallHead head;
  private InstanceId endpoint;
  private long attemptId;
  private Duration sentAt = Duration.ZERO;

  private EntryCall(
      CallContext context, CallRequest request, HttpResponseWriter out, Duration startedAt) {
    this.context = context;
    this.request = request;
    this.out = out;
    this.run =
        RequestStateMachine.create(this, request.retry(), context.budget(), request.idempotent());
    this.prefix = PromptReader.prefix(request);
    this.key = request.key();
    this.expiry = startedAt.plus(request.deadline());
  }

  /** Starts a call that writes its response to {@code out}; must be called on the loop. */
  static void start(CallContext context, CallRequest request, HttpResponseWriter out) {
    startWhenLinked(context, request, out, context.clock().elapsed());
  }

  /**
   * Starts the call as soon as the link that it needs is up. A request that carries a key may go to
   * one endpoint only, so it waits for that link and is refused if it isn't up in time.
   */
  private static void startWhenLinked(
      CallContext context, CallRequest request, HttpResponseWriter out, Duration startedAt) {
    Optional<Refusal> refusal =
        request.key().flatMap(key -> context.keyRouter().findRefusal(request.service(), key));
    if (refusal.isEmpty()) {
      startNow(context, request, out, startedAt);
      return;
    }
    Duration waited = context.clock().elapsed().minus(startedAt);
    if (waited.compareTo(LINK_WAIT_LIMIT) < 0 && waited.compareTo(request.deadline()) < 0) {
      context
          .loop()
          .after(LINK_POLL_PERIOD, () -> startWhenLinked(context, request, out, startedAt));
      return;
    }
    logRefused(request, refusal.get());
    context.metrics().onEnd(request.service(), refusal.get().verdict(), waited);
    Problems.write(out, request.id(), request.key(), refusal.get());
  }

  private static void startNow(
      CallContext context, CallRequest request, HttpResponseWriter out, Duration startedAt) {
    EntryCall call = new EntryCall(context, request, out, startedAt);
    out.whenComplete()
        .whenCompleteAsync(
            Callbacks.reported(
                (ok, failure) -> {
                  if (failure instanceof ClosedStreamException) {
                    call.run.onCancel();
                  }
                }),
            context.loop());
    Duration remaining = call.expiry.minus(context.clock().elapsed());
    call.cancelTimer = context.loop().after(remaining, call.run::onDeadline);
    call.removeFromDrain = context.drain().add(call.run::onStop);
    call.run.start();
  }

  /** Called when a frame of an attempt arrives; ignores frames of earlier attempts. */
  void onFrame(int attempt, LinkFrame frame) {
    if (attempt != run.attempt()) {
      return;
    }
    switch (frame.getBodyCase()) {
      case CALL_HEAD -> onHead(attempt, frame.getCallHead());
      case CALL_DATA -> onData(attempt, frame);
      case CALL_END -> onEnd(attempt, frame.getCallEnd().getFrames());
      case CALL_FAILED -> onFailed(attempt, CallMapper.fromMessage(frame.getCallFailed()));
      default -> EventLog.warn(LogEvent.FRAME_DROPPED, "kind", frame.getBodyCase());
    }
  }

  /** Called when the link that an attempt was sent over is lost. */
  void onLinkLost(int attempt) {
    context.router().onFailure(request.service(), endpoint);
    release();
    run.onAttemptEvent(attempt, RequestEvent.LINK_LOST);
  }

  @Override
  public Optional<InstanceId> choose(Set<InstanceId> excluded) {
    if (request.key().isPresent()) {
      return context
          .keyRouter()
          .endpointOf(request.service(), request.key().get())
          .filter(home -> !excluded.contains(home));
    }
    Optional<InstanceId> chosen = route(excluded);
    if (!request.idempotent()) {
      key = chosen.flatMap(context.keyRouter()::mintKey);
      return chosen.filter(c -> key.isPresent());
    }
    return chosen;
  }

  @Override
  public void send(InstanceId target, int attempt) {
    endpoint = target;
    responseFrames = ResponseFrameValidator.create();
    if (attempt > 1) {
      context.metrics().onRetry(request.service());
    }
    sentAt = context.clock().elapsed();
    Optional<Link> link = context.links().link(target);
    attemptId = context.callTable().add(new CallTable.Attempt(this, attempt, target));
    context.links().directory().onRequestStarted(target);
    if (link.isEmpty()) {
      release();
      run.onAttemptEvent(attempt, RequestEvent.WRITE_FAILED);
      return;
    }
    link.get()
        .send(startFrame())
        .whenCompleteAsync(
            Callbacks.reported((ok, failure) -> onWritten(attempt, failure)), context.loop());
  }

  @Override
  public void cancel(InstanceId target, int attempt) {
    CallCancel message = CallCancel.newBuilder().setCall(attemptId).build();
    LinkFrame frame = LinkFrame.newBuilder().setCallCancel(message).build();
    context.links().link(target).ifPresent(link -> link.send(frame));
    release();
  }

  @Override
  public void passHead() {
    ResponseHeadersBuilder b = ResponseHeaders.builder(head.getStatus());
    for (Header h : head.getHeadersList()) {
      if (!UNFORWARDED_HEADERS.contains(h.getName())) {
        b.add(h.getName(), h.getValue());
      }
    }
    b.set(CarobhoistHeaders.VERDICT, Verdict.COMPLETED.name());
    b.set(CarobhoistHeaders.REQUEST_ID, request.id().value());
    key.ifPresent(k -> b.set(CarobhoistHeaders.IDEMPOTENCY_KEY, k.toString()));
    out.tryWrite(b.build());
  }

  @Override
  public void finish() {
    endCall(Verdict.COMPLETED);
    out.close();
  }

  @Override
  public void refuse(Refusal refusal) {
    endCall(refusal.verdict());
    logRefused(request, refusal);
    Problems.write(out, request.id(), key, refusal);
  }

  @Override
  public void abort(Refusal refusal) {
    endCall(refusal.verdict());
    logRefused(request, refusal);
    out.close(RefusedException.of(refusal));
  }

  private void endCall(Verdict verdict) {
    cancelTimer.run();
    removeFromDrain.run();
    release();
    Duration start = expiry.minus(request.deadline());
    Duration duration = context.clock().elapsed().minus(start);
    context.metrics().onEnd(request.service(), verdict, duration);
  }

  private Optional<InstanceId> route(Set<InstanceId> excluded) {
    RouteQuery query = new RouteQuery(request.service(), context.zone(), excluded, prefix);
    return context
        .router()
        .choose(query, context.links().directory().viewsOf(request.service()))
        .map(EndpointView::instance);
  }

  private void onWritten(int attempt, Throwable failure) {
    if (failure != null && attempt == run.attempt()) {
      release();
    }
    run.onAttemptEvent(attempt, failure == null ? RequestEvent.WRITTEN : RequestEvent.WRITE_FAILED);
  }

  private void onHead(int attempt, CallHead arrived) {
    if (responseFrames.onHead()) {
      head = arrived;
      Duration duration = context.clock().elapsed().minus(sentAt);
      context.router().onSuccess(request.service(), endpoint, duration);
      run.onAttemptEvent(attempt, RequestEvent.HEAD);
    }
  }

  private void onData(int attempt, LinkFrame frame) {
    if (!responseFrames.onData(frame.getCallData().getSequence())) {
      run.onAttemptEvent(attempt, RequestEvent.BROKEN);
      return;
    }
    out.tryWrite(HttpData.wrap(frame.getCallData().getContent().toByteArray()));
  }

  private void onEnd(int attempt, int frameCount) {
    boolean complete = responseFrames.onEnd(frameCount);
    run.onAttemptEvent(attempt, complete ? RequestEvent.END : RequestEvent.BROKEN);
  }

  private void onFailed(int attempt, Refusal refusal) {
    if (refusal.reason() == RefusalReason.ENDPOINT_FAILED) {
      context.router().onFailure(request.service(), endpoint);
    }
    release();
    run.onRefused(attempt, refusal);
  }

  private void release() {
    if (attemptId != 0) {
      context.callTable().remove(attemptId);
      context.links().directory().onRequestEnded(endpoint);
      attemptId = 0;
    }
  }

  private LinkFrame startFrame() {
    Duration remaining = expiry.minus(context.clock().elapsed());
    CallStart.Builder b =
        CallStart.newBuilder()
            .setCall(attemptId)
            .setRequest(request.id().value())
            .setService(request.service().value())
            .setProfile(request.profile().value())
            .setMethod(request.http().method().name())
            .setPath(request.path())
            .setContent(ByteString.copyFrom(request.http().content().array()))
            .setRemainingMillis(Math.max(1, remaining.toMillis()))
            .setPriorityValue(CallMapper.priorityNumber(request.priority()))
            .setIdempotent(request.idempotent())
            .setIdempotencyKey(key.map(RequestKey::toString).orElse(""));
    request
        .http()
        .headers()
        .forEach(
            (name, value) -> {
              if (name.charAt(0) != ':' && !UNFORWARDED_HEADERS.contains(name.toString())) {
                b.addHeaders(Header.newBuilder().setName(name.toString()).setValue(value));
              }
            });
    if (request.key().isEmpty()) {
      key.ifPresent(k -> b.addHeaders(keyHeader(k)));
    }
    return LinkFrame.newBuilder().setCallStart(b).build();
  }

  private static Header keyHeader(RequestKey key) {
    return Header.newBuilder()
        .setName(CarobhoistHeaders.IDEMPOTENCY_KEY)
        .setValue(key.toString())
        .build();
  }

  private static void logRefused(CallRequest request, Refusal refusal) {
    EventLog.info(
        LogEvent.REQUEST_REFUSED,
        "request",
        request.id(),
        "profile",
        request.profile(),
        "verdict",
        refusal.verdict(),
        "reason",
        refusal.reason(),
        "detail",
        refusal.detail());
  }
}
