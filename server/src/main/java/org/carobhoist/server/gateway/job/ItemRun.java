package org.carobhoist.server.gateway.job;

import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.ResponseHeaders;
import java.time.Duration;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.placement.RunOrder;
import org.carobhoist.core.placement.RunOutcome;
import org.carobhoist.core.placement.RunText;
import org.carobhoist.platform.CallHeaders;
import org.carobhoist.platform.EngineEvent;
import org.carobhoist.platform.EngineEventParser;
import org.carobhoist.server.gateway.upstream.UpstreamClients;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** A run: one streaming request to an engine for an item of a job. */
final class ItemRun implements Subscriber<HttpObject> {

  private static final int OK = 200;
  private static final int UNPROCESSABLE = 422;
  private static final int SERVER_ERROR = 500;

  /** Maximum size of a text; a result has to fit into one store record of 256 KiB. */
  private static final int MAX_TEXT_BYTES = 200 * 1024;

  private final RunOrder order;
  private final RunText text;
  private final Listener listener;
  private final Duration startedAt;
  private final EngineEventParser parser = new EngineEventParser();
  private RunText.Mark reported;
  private HttpResponse response;
  private WeightVersion version = new WeightVersion(0);
  private boolean streaming;
  private boolean engineLeaving;
  private RunOutcome outcome = RunOutcome.RUNNING;
  private String detail = "";

  /** Receives the events of a run. */
  interface Listener {

    /** Called once, when the run has ended. */
    void onEnded(ItemRun run);

    /** Called when the engine has reported that it is shutting down. */
    void onEngineLeaving(ItemRun run);
  }

  /**
   * Creates a run that hasn't been started.
   *
   * @param now when the order was received
   */
  ItemRun(RunOrder order, Duration now, Listener listener) {
    this.order = order;
    this.text = RunText.fromDelta(order.prefix());
    this.reported = text.mark();
    this.startedAt = now;
    this.listener = listener;
  }

  /** Sends the request to the engine. */
  void start(UpstreamClients upstreams) {
    Duration left = order.timeLeft().isNegative() ? Duration.ofMillis(1) : order.timeLeft();
    HttpRequest request =
        HttpRequest.of(
            CallHeaders.forItem(
                order.item(), order.account(), order.host(), order.engine(), left, text.lastId()),
            HttpData.wrap(order.item().body()));
    response = upstreams.sendStreaming(order.address(), request, left).response();
    response.subscribe(this);
  }

  /** Cancels the run and aborts its stream. */
  void cancel() {
    end(RunOutcome.CANCELLED, "cancelled");
  }

  /** Returns the time left until the item may be given up. */
  Duration timeLeft(Duration now) {
    return order.timeLeft().minus(now.minus(startedAt));
  }

  RunOrder order() {
    return order;
  }

  RunText text() {
    return text;
  }

  RunOutcome outcome() {
    return outcome;
  }

  /** Returns why the run ended, for the log; empty if it is active or complete. */
  String detail() {
    return detail;
  }

  WeightVersion version() {
    return version;
  }

  /** Returns whether the engine has reported that it is shutting down. */
  boolean isEngineLeaving() {
    return engineLeaving;
  }

  /** Ends the run without sending a request, because its engine is shutting down. */
  void skip() {
    engineLeaving = true;
    end(RunOutcome.NOT_RUN, "the engine is shutting down");
  }

  /** Returns the position in the text up to which events have been reported. */
  RunText.Mark reported() {
    return reported;
  }

  /** Called when all events so far have been reported. */
  void onReported() {
    reported = text.mark();
  }

  @Override
  public void onSubscribe(Subscription subscription) {
    subscription.request(Long.MAX_VALUE);
  }

  @Override
  public void onNext(HttpObject part) {
    if (outcome != RunOutcome.RUNNING) {
      return;
    }
    if (part instanceof ResponseHeaders headers) {
      if (!headers.status().isInformational()) {
        onResponseHeaders(headers);
      }
    } else if (part instanceof HttpData data && streaming && !data.isEmpty()) {
      parser.feed(data.array()).forEach(this::onEvent);
      if (parser.pendingBytes() > MAX_TEXT_BYTES) {
        end(RunOutcome.BROKEN, "an event exceeds the maximum size of a result");
      }
    }
  }

  @Override
  public void onError(Throwable failure) {
    if (failure instanceof UnprocessedRequestException) {
      end(RunOutcome.BROKEN, "the request was not sent: " + failure.getCause());
    } else {
      end(RunOutcome.BROKEN, failure.toString());
    }
  }

  @Override
  public void onComplete() {
    boolean complete = streaming && parser.isBetweenEvents() && text.eventCount() > 0;
    if (complete) {
      end(RunOutcome.FINISHED, "");
    } else {
      end(RunOutcome.BROKEN, "the stream ended before it was complete");
    }
  }

  private void onResponseHeaders(ResponseHeaders headers) {
    int status = headers.status().code();
    if (CallHeaders.isLeaving(headers)) {
      engineLeaving = true;
      listener.onEngineLeaving(this);
    }
    if (CallHeaders.isMisdirected(headers)) {
      end(RunOutcome.MISPLACED, "another instance or weight version answered");
    } else if (CallHeaders.isNotRun(headers)) {
      end(RunOutcome.NOT_RUN, "status " + status);
    } else if (status == UNPROCESSABLE && CallHeaders.isStamped(headers)) {
      end(RunOutcome.IMPOSSIBLE, "status " + status);
    } else if (status != OK || !CallHeaders.isStamped(headers)) {
      boolean engineError = status == SERVER_ERROR && CallHeaders.isStamped(headers);
      end(engineError ? RunOutcome.FAILED : RunOutcome.BROKEN, "status " + status);
    } else {
      startStream(headers);
    }
  }

  private void startStream(ResponseHeaders headers) {
    streaming = true;
    CallHeaders.version(headers).ifPresent(v -> version = v);
    checkVersion();
  }

  private void onEvent(EngineEvent event) {
    if (outcome != RunOutcome.RUNNING) {
      return;
    }
    event.version().ifPresent(v -> version = v);
    if (checkVersion()) {
      text.add(event.id(), event.data(), version);
    }
    if (text.size() > MAX_TEXT_BYTES) {
      end(RunOutcome.BROKEN, "the text exceeds the maximum size of a result");
    }
  }

  private boolean checkVersion() {
    boolean versionKnown = version.number() > 0;
    boolean recentEnough = version.compareTo(order.minVersion()) >= 0;
    boolean allowed =
        order.requiredVersion().isEmpty() || order.requiredVersion().get().equals(version);
    boolean unchanged =
        !order.singleVersion() || text.versions().stream().allMatch(version::equals);
    if (unchanged && versionKnown && recentEnough && allowed) {
      return true;
    }
    end(RunOutcome.MISPLACED, "the engine has an unsuitable weight version: " + version);
    return false;
  }

  private void end(RunOutcome newOutcome, String reason) {
    if (outcome != RunOutcome.RUNNING) {
      return;
    }
    outcome = newOutcome;
    detail = reason;
    if (newOutcome != RunOutcome.FINISHED && response != null) {
      response.abort();
    }
    listener.onEnded(this);
  }
}
