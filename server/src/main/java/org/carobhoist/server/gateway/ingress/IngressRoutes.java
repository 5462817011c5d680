package org.carobhoist.server.gateway.ingress;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.ContentTooLargeException;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.util.AsciiString;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.carobhoist.core.account.AccessDecision;
import org.carobhoist.core.account.ClientIdentity;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.limit.BodyRefusal;
import org.carobhoist.core.limit.BufferBudget;
import org.carobhoist.core.manifest.Limits;
import org.carobhoist.core.manifest.Manifest;
import org.carobhoist.core.manifest.ManifestHolder;
import org.carobhoist.core.manifest.Route;
import org.carobhoist.core.manifest.RouteKind;
import org.carobhoist.platform.CallHeaders;
import org.carobhoist.platform.IngressCall;
import org.carobhoist.server.gateway.job.JobRequestHandler;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.runtime.BodyRefusedException;
import org.carobhoist.server.runtime.RequestBodyReader;

/** Serves the requests of clients and the readiness checks of the platform. */
public final class IngressRoutes implements HttpService {

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int BODY_TOO_LARGE = 413;
  private static final int HEADERS_TOO_LARGE = 431;
  private static final int UNAVAILABLE = 503;
  private static final int TIMEOUT = 504;

  private static final String NO_MANIFEST = "no manifest is known yet";

  /** Bytes of the colon, the space and the line end of a header on the wire. */
  private static final int HEADER_FRAMING_BYTES = 4;

  /** Time that submitting or ending a job may take if the client sends no deadline. */
  private static final Duration DEFAULT_TIME_LIMIT = Duration.ofSeconds(5);

  /** Limit of a body while no manifest is known; such a request is refused after its body. */
  private static final long MAX_BODY_BYTES = 1 << 20;

  /** A job is held as the body, its decoded items, their records and the call to the store. */
  private static final int JOB_FACTOR = 4;

  /** Bodies up to this size are counted once, without a search for their route. */
  private static final int SMALL_BODY_BYTES = 16_384;

  private static final Duration RETRY_AFTER = Duration.ofMillis(300);

  /** Retry delay while this process drains; other processes can serve the request immediately. */
  public static final Duration DRAINING_RETRY_AFTER = Duration.ofMillis(50);

  private final ManifestHolder manifests;
  private final ForwardContext context;
  private final JobRequestHandler jobs;
  private final BooleanSupplier ready;
  private final BooleanSupplier manifestStale;
  private final RequestBodyReader bodies;

  /**
   * Creates the service for the requests of clients.
   *
   * @param manifestStale returns whether the newest manifest may not be known, because the store
   *     can't be read
   */
  public IngressRoutes(
      ManifestHolder manifests,
      ForwardContext context,
      JobRequestHandler jobs,
      BooleanSupplier ready,
      BooleanSupplier manifestStale,
      RequestBodyReader bodies) {
    this.manifests = manifests;
    this.context = context;
    this.jobs = jobs;
    this.ready = ready;
    this.manifestStale = manifestStale;
    this.bodies = bodies;
  }

  @Override
  public HttpResponse serve(ServiceRequestContext ctx, HttpRequest req) {
    IngressCall call = IngressCall.of(req.headers(), ctx.path(), ctx.query());
    if (call instanceof IngressCall.Ready) {
      return localResponse(ready.getAsBoolean() ? OK : UNAVAILABLE, "");
    }
    if (call instanceof IngressCall.Malformed m) {
      EventLog.info(
          LogEvent.CALL_REFUSED, "path", ctx.path(), "status", NOT_FOUND, "why", m.reason());
      return localResponse(NOT_FOUND, "");
    }
    Optional<Limits> limits = manifests.current().map(Manifest::limits);
    if (limits.isPresent() && bytes(req.headers()) > limits.get().headerBytes()) {
      return refuseHeaders(req.headers());
    }
    HttpResponseWriter out = HttpResponse.streaming();
    String id = CallHeaders.requestId(req.headers());
    Runnable bodyEnded =
        context.drain().add(() -> refuseAtStop(out, id, "the process stops before the body ends"));
    boolean isLargeJob = isLargeJob(ctx, req);
    long allowedBytes = limits.map(Limits::bodyBytes).orElse(MAX_BODY_BYTES);
    // A job that the store can't hold is refused before its body is received.
    long maxBytes = isLargeJob ? Math.min(allowedBytes, jobs.maxJobBytes()) : allowedBytes;
    bodies
        .read(req, maxBytes, isLargeJob ? JOB_FACTOR : 1, out.whenComplete())
        .whenComplete(
            (http, failure) -> {
              bodyEnded.run();
              if (!out.isOpen()) {
                return;
              }
              closeOnException(
                  id,
                  out,
                  () -> {
                    if (failure == null) {
                      dispatch(call, ctx, http, out);
                    } else {
                      refuseBody(ctx, out, id, maxBytes, failure);
                    }
                  });
            });
    return out;
  }

  /** Refuses a request whose body wasn't received; its connection can't carry another one. */
  private static void refuseBody(
      ServiceRequestContext ctx,
      HttpResponseWriter out,
      String id,
      long maxBytes,
      Throwable failure) {
    ctx.initiateConnectionShutdown();
    if (failure instanceof ContentTooLargeException) {
      refuse(out, id, BODY_TOO_LARGE, "body larger than " + maxBytes + " bytes");
    } else if (failure instanceof BodyRefusedException refused) {
      int status = refused.refusal() == BodyRefusal.SLOW ? REQUEST_TIMEOUT : UNAVAILABLE;
      refuse(out, id, status, failure.getMessage());
    } else {
      out.close(failure);
    }
  }

  /** Returns whether a request may submit a job of more than {@link #SMALL_BODY_BYTES}. */
  private boolean isLargeJob(ServiceRequestContext ctx, HttpRequest req) {
    long declared = req.headers().contentLength();
    if (declared >= 0 && declared <= SMALL_BODY_BYTES) {
      return false;
    }
    return manifests
        .current()
        .flatMap(m -> m.findRoute(CallHeaders.host(req.headers()), ctx.path()))
        .filter(r -> r.kind() == RouteKind.JOBS)
        .isPresent();
  }

  private static HttpResponse refuseHeaders(RequestHeaders headers) {
    String id = CallHeaders.requestId(headers);
    logRefused(id, HEADERS_TOO_LARGE, "headers larger than the manifest's limit");
    return localResponse(HEADERS_TOO_LARGE, id);
  }

  private static long bytes(RequestHeaders headers) {
    long sum = 0;
    for (Map.Entry<AsciiString, String> h : headers) {
      sum += h.getKey().length() + h.getValue().length() + HEADER_FRAMING_BYTES;
    }
    return sum;
  }

  /** Handles a request; closes its response if that fails, so that it isn't left open. */
  private static void closeOnException(String id, HttpResponseWriter out, Runnable handling) {
    try {
      handling.run();
    } catch (RuntimeException e) {
      EventLog.error(LogEvent.DECISION_FAILED, e, "request", id);
      out.close(e);
    }
  }

  private void dispatch(
      IngressCall call,
      ServiceRequestContext ctx,
      AggregatedHttpRequest http,
      HttpResponseWriter out) {
    String id = CallHeaders.requestId(http.headers());
    if (call instanceof IngressCall.Routed) {
      route(ctx, http, out);
      return;
    }
    Optional<Manifest> manifest = manifests.current();
    if (manifest.isEmpty()) {
      refuse(out, id, UNAVAILABLE, NO_MANIFEST);
      return;
    }
    Optional<ClientIdentity> accepted =
        accept(
            AccessDecision.forJob(
                manifest.get().accounts(),
                CallHeaders.credentials(http.headers()),
                manifestStale.getAsBoolean()),
            manifest.get(),
            id,
            out);
    if (accepted.isPresent()) {
      callJob(call, accepted.get(), http, out);
    }
  }

  private void callJob(
      IngressCall call, ClientIdentity client, AggregatedHttpRequest http, HttpResponseWriter out) {
    String id = CallHeaders.requestId(http.headers());
    if (call instanceof IngressCall.ReadResults r) {
      answer(jobs.results(r.job(), client, r.from(), r.maxWait()), id, out, UNAVAILABLE);
    } else if (call instanceof IngressCall.ReadItem r) {
      answer(jobs.item(r.job(), client, r.item()), id, out, UNAVAILABLE);
    } else if (call instanceof IngressCall.EndJob e) {
      Duration timeLimit = timeLimit(http.headers());
      if (admit(id, timeLimit, out)) {
        answer(jobs.end(e.job(), client, timeLimit), id, out, TIMEOUT);
      }
    }
  }

  private void route(
      ServiceRequestContext ctx, AggregatedHttpRequest http, HttpResponseWriter out) {
    String id = CallHeaders.requestId(http.headers());
    Optional<Manifest> manifest = manifests.current();
    if (manifest.isEmpty()) {
      refuse(out, id, UNAVAILABLE, NO_MANIFEST);
      return;
    }
    Optional<Route> route = manifest.get().findRoute(CallHeaders.host(http.headers()), ctx.path());
    if (route.isEmpty()) {
      refuse(out, id, NOT_FOUND, "no route in version " + manifest.get().version());
      return;
    }
    AccessDecision access =
        AccessDecision.forRoute(
            manifest.get().accounts(),
            route.get().acceptsAnonymous(),
            CallHeaders.credentials(http.headers()),
            manifestStale.getAsBoolean());
    accept(access, manifest.get(), id, out)
        .ifPresent(client -> run(ctx, route.get(), client, http, out));
  }

  /** Returns the identity of the client if its request is accepted; refuses the request if not. */
  private static Optional<ClientIdentity> accept(
      AccessDecision decision, Manifest manifest, String id, HttpResponseWriter out) {
    if (decision instanceof AccessDecision.Accepted a) {
      return Optional.of(a.identity());
    }
    String version = ", version " + manifest.version();
    if (decision instanceof AccessDecision.Unauthorized u) {
      refuse(out, id, UNAUTHORIZED, u.reason() + version);
    } else if (decision instanceof AccessDecision.Unsure u) {
      refuse(out, id, UNAVAILABLE, u.reason() + version);
    }
    return Optional.empty();
  }

  private void run(
      ServiceRequestContext ctx,
      Route route,
      ClientIdentity client,
      AggregatedHttpRequest http,
      HttpResponseWriter out) {
    String id = CallHeaders.requestId(http.headers());
    if (id.isEmpty()) {
      refuse(out, id, BAD_REQUEST, "the request has no id");
    } else if (route.kind() == RouteKind.JOBS) {
      Duration timeLimit = timeLimit(http.headers());
      if (admit(id, timeLimit, out)) {
        byte[] body = http.content().array();
        answer(jobs.submit(route, id, client, body, timeLimit), id, out, TIMEOUT);
      }
    } else if (admit(id, CallHeaders.timeLimit(http.headers(), route.timeout()), out)) {
      ForwardedCall.start(ctx, context, route, client, http, out);
    }
  }

  /** Refuses a request that this process, which drains, might not answer before it ends. */
  private boolean admit(String id, Duration timeLimit, HttpResponseWriter out) {
    if (context.drain().admits(timeLimit)) {
      return true;
    }
    refuseAtStop(out, id, "the process stops before the request's time limit");
    return false;
  }

  private static void refuseAtStop(HttpResponseWriter out, String id, String reason) {
    logRefused(id, UNAVAILABLE, reason);
    out.tryWrite(CallHeaders.localResponse(UNAVAILABLE, id, Optional.of(DRAINING_RETRY_AFTER)));
    out.close();
  }

  /**
   * Writes a response when it is available.
   *
   * @param statusAtStop status of the response if the process stops before
   */
  private void answer(
      CompletableFuture<AggregatedHttpResponse> response,
      String id,
      HttpResponseWriter out,
      int statusAtStop) {
    Runnable answered =
        context.drain().add(() -> refuse(out, id, statusAtStop, "the process stops"));
    response.whenCompleteAsync(
        Callbacks.reported(
            (http, failure) -> {
              answered.run();
              if (!out.isOpen()) {
                return;
              }
              if (failure != null) {
                EventLog.error(LogEvent.DECISION_FAILED, failure);
                out.close(failure);
                return;
              }
              out.write(http.headers());
              if (!http.content().isEmpty()) {
                count(http.content().length(), out);
                out.write(http.content());
              }
              out.close();
            }),
        context.loop());
  }

  /** Counts a response until the client has read it; aborts it if memory is short. */
  private void count(long bytes, HttpResponseWriter out) {
    BufferBudget.Buffer buffer =
        context.buffers().open(() -> out.abort(new IllegalStateException("memory is short")));
    out.whenComplete().whenComplete((ok, gone) -> context.loop().execute(buffer::close));
    buffer.add(bytes);
  }

  private static Duration timeLimit(RequestHeaders headers) {
    return CallHeaders.deadline(headers).orElse(DEFAULT_TIME_LIMIT);
  }

  private static void refuse(HttpResponseWriter out, String id, int status, String reason) {
    logRefused(id, status, reason);
    Optional<Duration> after = status == UNAVAILABLE ? Optional.of(RETRY_AFTER) : Optional.empty();
    // The client may have left; a write to its response would throw.
    out.tryWrite(CallHeaders.localResponse(status, id, after));
    out.close();
  }

  private static void logRefused(String id, int status, String reason) {
    EventLog.info(LogEvent.CALL_REFUSED, "request", id, "status", status, "why", reason);
  }

  private static HttpResponse localResponse(int status, String id) {
    return HttpResponse.of(CallHeaders.localResponse(status, id, Optional.empty()));
  }
}
