package org.carobhoist.server.gateway.ingress;

import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.account.ClientIdentity;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.Verdict;
import org.carobhoist.core.limit.BufferBudget;
import org.carobhoist.core.manifest.Route;
import org.carobhoist.core.manifest.RouteKind;
import org.carobhoist.core.membership.ServerEntry;
import org.carobhoist.core.request.EventStreamPosition;
import org.carobhoist.core.request.RequestEvent;
import org.carobhoist.core.request.RequestPort;
import org.carobhoist.core.request.RequestState;
import org.carobhoist.core.request.RequestStateMachine;
import org.carobhoist.core.routing.EndpointView;
import org.carobhoist.core.routing.RouteQuery;
import org.carobhoist.platform.CallHeaders;
import org.carobhoist.server.gateway.capacity.AttemptMeasurement;
import org.carobhoist.server.gateway.upstream.Exchange;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Forwards a client's request to servers, with retries. A response is sent to the client only when
 * it is complete, so that the request can be retried on another server if the response is cut off.
 * A stream is passed on as it arrives.
 */
final class ForwardedCall implements RequestPort {

  private static final int SERVER_ERROR = 500;

  /** Fraction of the remaining time that an attempt may take if a further attempt is allowed. */
  private static final double ATTEMPT_SHARE = 0.4;

  private final ForwardContext context;
  private final Route route;
  private final ClientIdentity client;
  private final ServiceName service;
  private final AggregatedHttpRequest request;
  private final HttpResponseWriter out;
  private final String id;
  private final RequestStateMachine stateMachine;
  private final Duration startedAt;
  private final Duration deadline;
  private final List<Attempt> attempts = new ArrayList<>();
  private Attempt current;
  private Attempt completeAttempt;
  private Runnable cancelDeadline = () -> {};
  private Runnable removeFromDrain = () -> {};

  private ForwardedCall(
      ForwardContext context,
      Route route,
      ClientIdentity client,
      AggregatedHttpRequest request,
      HttpResponseWriter out) {
    this.context = context;
    this.route = route;
    this.client = client;
    this.service = route.selectService(context.random());
    this.request = request;
    this.out = out;
    this.id = CallHeaders.requestId(request.headers());
    this.startedAt = context.clock().elapsed();
    this.deadline = startedAt.plus(CallHeaders.timeLimit(request.headers(), route.timeout()));
    this.stateMachine =
        RequestStateMachine.create(this, route.retry(), context.budget(), route.isIdempotent());
  }

  /** Starts a call whose response is written to {@code out}. */
  static void start(
      ServiceRequestContext ctx,
      ForwardContext context,
      Route route,
      ClientIdentity client,
      AggregatedHttpRequest request,
      HttpResponseWriter out) {
    ForwardedCall call = new ForwardedCall(context, route, client, request, out);
    out.whenComplete()
        .exceptionally(
            gone -> {
              context.loop().execute(call::onClientGone);
              return null;
            });
    Runnable connectionOpen =
        ClientConnection.onClosed(ctx, () -> context.loop().execute(call::onClientGone));
    out.whenComplete()
        .whenComplete(
            (ok, gone) -> {
              connectionOpen.run();
              context.loop().execute(call::release);
            });
    call.cancelDeadline = context.loop().after(call.timeLeft(), call.stateMachine::onDeadline);
    call.removeFromDrain = context.drain().add(call.stateMachine::onStop);
    call.stateMachine.start();
  }

  @Override
  public Optional<InstanceId> choose(Set<InstanceId> excluded) {
    RouteQuery query = new RouteQuery(service, context.zone(), excluded, 0);
    return context
        .router()
        .choose(query, context.directory().viewsOf(service))
        .map(EndpointView::instance);
  }

  @Override
  public void send(InstanceId endpoint, int attempt) {
    Optional<ServerEntry> server = context.servers().entry(endpoint);
    if (server.isEmpty()) {
      stateMachine.onAttemptEvent(attempt, RequestEvent.WRITE_FAILED);
      return;
    }
    if (attempt > 1) {
      EventLog.info(
          LogEvent.REQUEST_RETRIED, "request", id, "endpoint", endpoint, "attempt", attempt);
      context.metrics().onRetry(service);
    }
    context.directory().onRequestStarted(endpoint);
    current = new Attempt(endpoint, attempt);
    attempts.add(current);
    current.start(server.get());
  }

  @Override
  public void cancel(InstanceId endpoint, int attempt) {
    if (current != null) {
      current.abort();
    }
  }

  @Override
  public void passHead() {
    if (isStreaming()) {
      out.write(CallHeaders.forwardResponse(current.responseHeaders));
    } else {
      completeAttempt = current;
    }
  }

  @Override
  public void finish() {
    if (!isStreaming()) {
      writeResponse(completeAttempt);
    }
    out.close();
    recordEnd(Verdict.COMPLETED, "");
  }

  @Override
  public void refuse(Refusal refusal) {
    if (completeAttempt != null && refusal.reason() != RefusalReason.CANCELLED) {
      writeResponse(completeAttempt);
      out.close();
      recordEnd(Verdict.MAY_HAVE_RUN, "the server's own failure");
      return;
    }
    out.write(RefusalResponse.headers(refusal, id));
    out.close();
    recordEnd(refusal.verdict(), refusal.reason() + ": " + refusal.detail());
  }

  @Override
  public void abort(Refusal refusal) {
    out.close(new IllegalStateException(refusal.detail()));
    recordEnd(Verdict.MAY_HAVE_RUN, refusal.reason() + ": " + refusal.detail());
  }

  /** Releases the buffers of all attempts. */
  private void release() {
    attempts.forEach(e -> e.buffer.close());
  }

  private void onClientGone() {
    if (stateMachine.state() != RequestState.COMPLETED
        && stateMachine.state() != RequestState.REFUSED) {
      stateMachine.onCancel();
    }
  }

  private boolean isStreaming() {
    return route.kind() == RouteKind.STREAMING;
  }

  private void writeResponse(Attempt attempt) {
    out.write(CallHeaders.forwardResponse(attempt.responseHeaders));
    attempt.body.forEach(out::write);
    // Otherwise an aborted response would stay in memory with its call.
    attempt.body.clear();
  }

  private void recordEnd(Verdict verdict, String reason) {
    cancelDeadline.run();
    removeFromDrain.run();
    Duration duration = context.clock().elapsed().minus(startedAt);
    Attempt last = completeAttempt == null ? current : completeAttempt;
    context.metrics().onEnd(service, verdict, duration);
    EventLog.info(
        verdict == Verdict.COMPLETED ? LogEvent.REQUEST_SERVED : LogEvent.REQUEST_REFUSED,
        "request",
        id,
        "route",
        route.name(),
        "account",
        client.account().map(AccountName::value).orElse(""),
        "endpoint",
        last == null ? "" : last.endpoint,
        "connection",
        last == null ? "" : last.connection(),
        "status",
        last == null ? "" : last.status(),
        "stamp",
        last == null ? "" : last.stamp(),
        "attempts",
        stateMachine.attempt(),
        "ms",
        duration.toMillis(),
        "verdict",
        verdict,
        "why",
        reason);
  }

  private Duration timeLeft() {
    Duration timeLeft = deadline.minus(context.clock().elapsed());
    return timeLeft.isNegative() ? Duration.ZERO : timeLeft;
  }

  /** One attempt on one server. */
  private final class Attempt implements Subscriber<HttpObject> {

    private final InstanceId endpoint;
    private final int number;
    private final AttemptMeasurement measurement;
    private final Duration sentAt = context.clock().elapsed();
    private final List<HttpData> body = new ArrayList<>();
    private Exchange exchange;
    private String connection = "";
    private Subscription subscription;
    private ResponseHeaders responseHeaders;
    private Runnable cancelTimeout = () -> {};
    private final BufferBudget.Buffer buffer = context.buffers().open(this::onTooLarge);
    private final EventStreamPosition position = EventStreamPosition.atStart();
    private final AttemptUsage usage =
        new AttemptUsage(context.usage().get(), client.account(), service);
    private boolean ended;

    private Attempt(InstanceId endpoint, int number) {
      this.endpoint = endpoint;
      this.number = number;
      this.measurement = context.measure(endpoint);
    }

    private void start(ServerEntry server) {
      Duration timeLeft = timeLeft();
      HttpRequest toServer =
          HttpRequest.of(
              CallHeaders.forward(request.headers(), client, endpoint, timeLeft, ""),
              request.content());
      exchange = context.upstreams().sendStreaming(server.address(), toServer, Duration.ZERO);
      exchange.response().subscribe(this);
      boolean mayRetry = route.isIdempotent() && number < route.retry().maxAttempts();
      if (mayRetry && !isStreaming()) {
        Duration limit = Duration.ofMillis((long) (timeLeft.toMillis() * ATTEMPT_SHARE));
        cancelTimeout = context.loop().after(limit, this::onTimeout);
      }
      stateMachine.onAttemptEvent(number, RequestEvent.WRITTEN);
    }

    /** Returns the status that the server sent; empty if it has sent none. */
    private String status() {
      return responseHeaders == null ? "" : responseHeaders.status().codeAsText();
    }

    private String stamp() {
      return responseHeaders == null ? "" : CallHeaders.stamp(responseHeaders).orElse("");
    }

    private void abort() {
      if (!ended) {
        markEnded();
        exchange.response().abort();
      }
    }

    private void markEnded() {
      ended = true;
      usage.onEnded(!connection().isEmpty(), sinceSent());
      cancelTimeout.run();
      context.directory().onRequestEnded(endpoint);
    }

    private Duration sinceSent() {
      return context.clock().elapsed().minus(sentAt);
    }

    private void onTooLarge() {
      if (!ended) {
        fail("the answer is too large, or has no end");
      } else if (this == completeAttempt) {
        // The client hasn't read the response, which can't be refused any more.
        out.abort(new IllegalStateException("memory is short for a response that isn't read"));
      }
    }

    private void onTimeout() {
      if (!ended) {
        fail("no answer in time");
      }
    }

    /** Fails the attempt. The request may have run; the rest of the response is discarded. */
    private void fail(String reason) {
      abort();
      buffer.close();
      body.clear();
      context.router().onFailure(service, endpoint);
      measurement.onFailed();
      logFailure(reason);
      stateMachine.onAttemptEvent(
          number,
          responseHeaders != null && isStreaming() ? RequestEvent.BROKEN : RequestEvent.LINK_LOST);
    }

    private void logFailure(String reason) {
      EventLog.info(
          LogEvent.ATTEMPT_FAILED,
          "request",
          id,
          "endpoint",
          endpoint,
          "attempt",
          number,
          "ms",
          context.clock().elapsed().minus(sentAt).toMillis(),
          "connection",
          connection(),
          "status",
          status(),
          "stamp",
          stamp(),
          "why",
          reason);
    }

    /** Returns the connection that carries the request; empty if there is none yet. */
    private String connection() {
      return connection.isEmpty() && exchange != null ? exchange.connection() : connection;
    }

    @Override
    public void onSubscribe(Subscription newSubscription) {
      subscription = newSubscription;
      subscription.request(isStreaming() ? 1 : Long.MAX_VALUE);
    }

    @Override
    public void onNext(HttpObject part) {
      if (ended) {
        return;
      }
      onPart(part);
      if (isStreaming() && !ended) {
        // Requests the next part once the client has read this one, to limit what is buffered.
        out.whenConsumed().thenRun(() -> subscription.request(1));
      }
    }

    private void onPart(HttpObject part) {
      if (part instanceof ResponseHeaders headers) {
        if (!headers.status().isInformational()) {
          onResponseHeaders(headers);
        }
      } else if (part instanceof HttpData data && responseHeaders != null && !data.isEmpty()) {
        if (isStreaming()) {
          measurement.onAnswered(responseHeaders.status().code());
          usage.onStreamEvent();
          position.advance(data.array());
          out.write(data);
        } else {
          body.add(data);
          buffer.add(data.length());
        }
      }
    }

    private void onResponseHeaders(ResponseHeaders headers) {
      connection = exchange.connection();
      context.onResponseHeaders(endpoint, headers);
      if (CallHeaders.isNotRun(headers)) {
        refuse(headers);
      } else if (!CallHeaders.isStamped(headers)) {
        fail("no server stands behind the answer");
      } else {
        responseHeaders = headers;
        if (isStreaming()) {
          stateMachine.onAttemptEvent(number, RequestEvent.HEAD);
        } else {
          usage.onPlainHead(sinceSent());
        }
      }
    }

    private boolean isCutEventStream() {
      return isStreaming()
          && CallHeaders.isEventStream(responseHeaders)
          && !position.isBetweenEvents();
    }

    private void refuse(ResponseHeaders headers) {
      usage.onNotRun();
      markEnded();
      exchange.response().abort();
      String detail = "the server answered " + headers.status().code() + ", not run";
      stateMachine.onRefused(number, Refusal.notRun(RefusalReason.OVERLOADED, detail));
    }

    @Override
    public void onError(Throwable failure) {
      if (ended) {
        return;
      }
      if (failure instanceof UnprocessedRequestException) {
        usage.onNotRun();
        markEnded();
        context.router().onFailure(service, endpoint);
        measurement.onFailed();
        stateMachine.onAttemptEvent(number, RequestEvent.WRITE_FAILED);
      } else {
        fail(failure.toString());
      }
    }

    @Override
    public void onComplete() {
      if (ended) {
        return;
      }
      if (responseHeaders == null) {
        fail("the answer has no head");
        return;
      }
      if (isCutEventStream()) {
        fail("the stream ends in the middle of an event");
        return;
      }
      markEnded();
      context.router().onSuccess(service, endpoint, context.clock().elapsed().minus(sentAt));
      measurement.onAnswered(responseHeaders.status().code());
      boolean failed = responseHeaders.status().code() >= SERVER_ERROR;
      if (failed && route.isIdempotent() && !isStreaming()) {
        completeAttempt = this;
        logFailure("the server's own failure");
        stateMachine.onAttemptEvent(number, RequestEvent.MAY_HAVE_RUN);
        return;
      }
      if (!isStreaming()) {
        stateMachine.onAttemptEvent(number, RequestEvent.HEAD);
      }
      stateMachine.onAttemptEvent(number, RequestEvent.END);
    }
  }
}
