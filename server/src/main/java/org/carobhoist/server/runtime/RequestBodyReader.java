package org.carobhoist.server.runtime;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.ContentTooLargeException;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpRequest;
import java.util.Arrays;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.limit.BodyAdmission;
import org.carobhoist.core.limit.BodyListener;
import org.carobhoist.core.limit.BodyRefusal;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Receives the bodies of requests as fast as {@link BodyAdmission} allows. A paused body isn't
 * requested from the HTTP library, which then stops reading its connection.
 */
public final class RequestBodyReader {

  private final DecisionLoop loop;
  private final BodyAdmission admission;

  /** Creates a reader; the admission is accessed only on the loop. */
  public RequestBodyReader(DecisionLoop loop, BodyAdmission admission) {
    this.loop = loop;
    this.admission = admission;
  }

  /**
   * Receives the body of a request.
   *
   * @param maxBytes most bytes that the body may have
   * @param factor memory that processing the request takes, as a multiple of its body
   * @param responseEnd completes when the request no longer needs its body
   * @return the complete request, on the loop; fails with {@link BodyRefusedException} if the body
   *     is refused, and with {@link ContentTooLargeException} if it is too large
   */
  public CompletableFuture<AggregatedHttpRequest> read(
      HttpRequest req, long maxBytes, int factor, CompletableFuture<?> responseEnd) {
    CompletableFuture<AggregatedHttpRequest> complete = new CompletableFuture<>();
    Reception reception = new Reception(req, maxBytes, factor, complete);
    loop.execute(() -> reception.start(responseEnd));
    return complete;
  }

  private final class Reception implements Subscriber<HttpObject>, BodyListener {

    private final HttpRequest req;
    private final long maxBytes;
    private final int factor;
    private final CompletableFuture<AggregatedHttpRequest> complete;
    private BodyAdmission.Body body;
    private Subscription subscription;
    private byte[] content = new byte[0];
    private int length;

    private Reception(
        HttpRequest req,
        long maxBytes,
        int factor,
        CompletableFuture<AggregatedHttpRequest> complete) {
      this.req = req;
      this.maxBytes = maxBytes;
      this.factor = factor;
      this.complete = complete;
    }

    private void start(CompletableFuture<?> responseEnd) {
      long declared = req.headers().contentLength();
      if (declared > maxBytes) {
        end(ContentTooLargeException.get());
        req.abort();
        return;
      }
      OptionalLong size = declared < 0 ? OptionalLong.empty() : OptionalLong.of(declared);
      body = admission.open(size, maxBytes, this);
      responseEnd.whenComplete((ok, failure) -> loop.execute(body::close));
      req.subscribe(this);
    }

    @Override
    public void onSubscribe(Subscription newSubscription) {
      loop.execute(
          () -> {
            subscription = newSubscription;
            next();
          });
    }

    @Override
    public void onNext(HttpObject part) {
      loop.execute(() -> onPart(part));
    }

    @Override
    public void onError(Throwable failure) {
      loop.execute(() -> end(failure));
    }

    @Override
    public void onComplete() {
      loop.execute(this::onEnd);
    }

    @Override
    public void onResume() {
      next();
    }

    @Override
    public void onRefused(BodyRefusal cause) {
      end(new BodyRefusedException(cause));
      if (subscription != null) {
        subscription.cancel();
      }
    }

    private void next() {
      if (complete.isDone()) {
        subscription.cancel();
      } else {
        subscription.request(1);
      }
    }

    private void onPart(HttpObject part) {
      if (complete.isDone() || !(part instanceof HttpData data)) {
        return;
      }
      append(data.array());
      if (length > maxBytes) {
        end(ContentTooLargeException.get());
        subscription.cancel();
      } else if (body.onBytes(data.length())) {
        next();
      }
    }

    private void append(byte[] bytes) {
      int needed = length + bytes.length;
      if (needed > content.length) {
        // The first part of a body is often all of it; after that the whole grant is allocated.
        long size = length == 0 ? needed : Math.max(needed, body.grantedBytes());
        content = Arrays.copyOf(content, (int) size);
      }
      System.arraycopy(bytes, 0, content, length, bytes.length);
      length = needed;
    }

    private void onEnd() {
      if (!complete.isDone() && body.complete(factor)) {
        HttpData data = length == 0 ? HttpData.empty() : HttpData.wrap(content, 0, length);
        content = new byte[0];
        complete.complete(AggregatedHttpRequest.of(req.headers(), data));
      }
    }

    private void end(Throwable failure) {
      content = new byte[0];
      complete.completeExceptionally(failure);
      if (body != null) {
        body.close();
      }
    }
  }
}
