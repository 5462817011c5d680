package org.carobhoist.server.sidecar;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;
import org.carobhoist.core.request.EventStreamPosition;
import org.carobhoist.platform.CallHeaders;
import org.carobhoist.server.runtime.SingleUseConnections;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * HTTP client of the endpoint beside this sidecar. Responses of endpoints bear no request id, so
 * each request has a connection of its own: on a shared one, a late second response to an earlier
 * request would pass for the response to the next.
 */
final class EndpointClient {

  /** Maximum size of a response that is aggregated; load reports are below 1 KiB. */
  private static final long MAX_REPLY_BYTES = 1 << 20;

  /**
   * Maximum number of bytes on a connection for a response that is aggregated. It exceeds the
   * maximum size of the response, so that a body which the end of its connection ends is never cut
   * by this limit and taken as complete.
   */
  private static final long MAX_REPLY_CONNECTION_BYTES = 2 * MAX_REPLY_BYTES;

  private static final ClientFactory BOUNDED_CONNECTIONS =
      SingleUseConnections.boundedFactory(MAX_REPLY_CONNECTION_BYTES);

  /** Maximum number of parts of a response that a sink keeps before no more are read. */
  private static final int MAX_KEPT_PARTS = 16;

  private final WebClient client;
  private final WebClient bounded;
  private final Executor loop;

  private EndpointClient(URI url, Executor loop) {
    this.client = client(url, SingleUseConnections.factory());
    this.bounded = client(url, BOUNDED_CONNECTIONS);
    this.loop = loop;
  }

  private static WebClient client(URI url, ClientFactory factory) {
    return WebClient.builder("h1c://" + url.getAuthority())
        .factory(factory)
        .responseTimeoutMillis(0)
        .maxResponseLength(0)
        .build();
  }

  /** Returns a client of the endpoint that calls sinks and completes futures on the loop. */
  static EndpointClient at(URI url, Executor loop) {
    return new EndpointClient(url, loop);
  }

  /**
   * Sends a request and streams its response to the sink, no faster than the sink takes it.
   *
   * @return a handle that cancels the request and closes the endpoint's stream
   */
  Runnable exchange(RequestHeaders headers, byte[] content, EndpointSink sink) {
    HttpResponse response = client.execute(HttpRequest.of(headers, HttpData.wrap(content)));
    response.subscribe(new SinkSubscriber(sink, loop));
    return response::abort;
  }

  /**
   * Sends a request; the future completes on the loop with the aggregated response.
   *
   * @param timeout time until the response must be complete; zero for no timeout
   */
  CompletableFuture<AggregatedHttpResponse> call(
      RequestHeaders headers, byte[] content, Duration timeout) {
    RequestOptions options =
        RequestOptions.builder()
            .responseTimeout(timeout)
            .maxResponseLength(MAX_REPLY_BYTES)
            .build();
    HttpRequest request = HttpRequest.of(headers, HttpData.wrap(content));
    return bounded
        .execute(request, options)
        .aggregate()
        .whenCompleteAsync((response, failure) -> {}, loop);
  }

  private static Refusal refusal(Throwable failure) {
    if (failure instanceof UnprocessedRequestException) {
      String detail = "the endpoint can't be reached: " + failure.getCause();
      return Refusal.notRun(RefusalReason.ENDPOINT_FAILED, detail);
    }
    String detail = "the endpoint broke off: " + failure;
    return Refusal.mayHaveRun(RefusalReason.ENDPOINT_FAILED, detail);
  }

  private static final class SinkSubscriber implements Subscriber<HttpObject> {

    private final EndpointSink sink;
    private final Executor loop;
    private final EventStreamPosition position = EventStreamPosition.atStart();
    private Subscription subscription;
    private boolean eventStream;

    private SinkSubscriber(EndpointSink sink, Executor loop) {
      this.sink = sink;
      this.loop = loop;
    }

    @Override
    public void onSubscribe(Subscription newSubscription) {
      subscription = newSubscription;
      subscription.request(MAX_KEPT_PARTS);
    }

    @Override
    public void onNext(HttpObject part) {
      if (part instanceof ResponseHeaders headers) {
        if (!headers.status().isInformational()) {
          eventStream = CallHeaders.isEventStream(headers);
          loop.execute(() -> sink.onHead(headers));
        }
      } else if (part instanceof HttpData data && !data.isEmpty()) {
        byte[] content = data.array();
        position.advance(content);
        loop.execute(() -> sink.onData(content).whenComplete((ok, failure) -> requestPart()));
        return;
      }
      requestPart();
    }

    private void requestPart() {
      subscription.request(1);
    }

    @Override
    public void onError(Throwable failure) {
      loop.execute(() -> sink.onFailed(refusal(failure)));
    }

    @Override
    public void onComplete() {
      if (eventStream && !position.isBetweenEvents()) {
        onError(new IllegalStateException("the stream ends in the middle of an event"));
        return;
      }
      loop.execute(sink::onEnd);
    }
  }
}
