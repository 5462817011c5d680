package org.carobhoist.server.entry;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.util.Exceptions;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.RefusedException;
import org.carobhoist.core.common.RequestId;
import org.carobhoist.core.request.DrainDeadline;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * Reads the bodies of requests. A request whose body is still incomplete at the end of a planned
 * stop is refused, and is not handled if the rest arrives later.
 */
final class RequestBodies {

  private final DecisionLoop loop;
  private final DrainDeadline drain;

  private RequestBodies(DecisionLoop loop, DrainDeadline drain) {
    this.loop = loop;
    this.drain = drain;
  }

  /** Returns a reader of the bodies of a process's requests. */
  static RequestBodies create(DecisionLoop loop, DrainDeadline drain) {
    return new RequestBodies(loop, drain);
  }

  /**
   * Reads the body of a request.
   *
   * @return the complete request; fails with {@link RefusedException} if the process stops before
   *     the body ends
   */
  CompletableFuture<AggregatedHttpRequest> read(HttpRequest req) {
    CompletableFuture<AggregatedHttpRequest> body = new CompletableFuture<>();
    CompletableFuture<Runnable> removeFromDrain = loop.call(() -> addToDrain(body));
    req.aggregate()
        .whenCompleteAsync(
            Callbacks.reported(
                (http, failure) -> {
                  removeFromDrain.thenAccept(Runnable::run);
                  if (failure == null) {
                    body.complete(http);
                  } else {
                    body.completeExceptionally(failure);
                  }
                }),
            loop);
    return body;
  }

  private Runnable addToDrain(CompletableFuture<AggregatedHttpRequest> body) {
    return drain.add(() -> body.completeExceptionally(RefusedException.of(EntryService.DRAINING)));
  }

  /**
   * Reads the body of a request and passes the complete request to a handler, on the loop.
   *
   * @return the handler's response, or the refusal if the process stops before the body ends
   */
  HttpResponse respond(
      HttpRequest req, Function<AggregatedHttpRequest, CompletableFuture<HttpResponse>> handler) {
    return HttpResponse.of(
        read(req).thenComposeAsync(handler, loop).exceptionallyCompose(RequestBodies::refusal));
  }

  private static CompletableFuture<HttpResponse> refusal(Throwable failure) {
    if (Exceptions.peel(failure) instanceof RefusedException refused) {
      RequestId id = new RequestId(UUID.randomUUID().toString());
      return CompletableFuture.completedFuture(Problems.response(id, refused.refusal()));
    }
    return CompletableFuture.failedFuture(failure);
  }
}
