package org.carobhoist.server.entry;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.util.Exceptions;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import org.carobhoist.core.common.Priority;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;
import org.carobhoist.core.common.RefusedException;
import org.carobhoist.core.common.RequestId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.idempotency.RequestKey;
import org.carobhoist.core.profile.Profile;
import org.carobhoist.core.profile.ProfileFold;
import org.carobhoist.core.request.RetryPolicy;

/** HTTP routes for callers: requests to a named service and model completions. */
final class CallRoutes {

  private static final Set<HttpMethod> IDEMPOTENT_METHODS =
      Set.of(
          HttpMethod.GET, HttpMethod.HEAD, HttpMethod.OPTIONS, HttpMethod.PUT, HttpMethod.DELETE);
  private static final ProfileName NO_PROFILE = new ProfileName("none");
  private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(30);
  private static final RetryPolicy DEFAULT_RETRY = new RetryPolicy(3);

  private final CallContext context;
  private final RequestBodies bodies;
  private final ProfileFold profiles;
  private final BooleanSupplier ready;

  CallRoutes(CallContext context, ProfileFold profiles, BooleanSupplier ready) {
    this.context = context;
    this.bodies = RequestBodies.create(context.loop(), context.drain());
    this.profiles = profiles;
    this.ready = ready;
  }

  void addTo(ServerBuilder sb) {
    sb.service("regex:^/v1/services/(?<service>[^/]+)(?<rest>/.*)?$", this::serveService);
    sb.service("/v1/completions", this::serveCompletion);
    sb.service("/v1/chat/completions", this::serveCompletion);
  }

  private HttpResponse serveService(ServiceRequestContext ctx, HttpRequest req) {
    String rest = ctx.pathParam("rest");
    String path = rest == null || rest.isEmpty() ? "/" : rest;
    String query = ctx.query();
    String target = query == null ? path : path + "?" + query;
    return aggregate(req, http -> createRequest(ctx.pathParam("service"), target, http, false));
  }

  private HttpResponse serveCompletion(ServiceRequestContext ctx, HttpRequest req) {
    return aggregate(req, http -> createRequest(modelOf(http), ctx.path(), http, true));
  }

  private interface RequestFactory {
    CallRequest create(AggregatedHttpRequest http);
  }

  private HttpResponse aggregate(HttpRequest req, RequestFactory factory) {
    HttpResponseWriter out = HttpResponse.streaming();
    bodies
        .read(req)
        .thenAcceptAsync(http -> startCall(http, factory, out), context.loop())
        .exceptionally(
            failure -> {
              onFailure(requestId(req.headers()), failure, out);
              return null;
            });
    return out;
  }

  private static void onFailure(RequestId id, Throwable failure, HttpResponseWriter out) {
    if (Exceptions.peel(failure) instanceof RefusedException refused) {
      Problems.write(out, id, refused.refusal());
    } else {
      out.close(failure);
    }
  }

  private void startCall(
      AggregatedHttpRequest http, RequestFactory factory, HttpResponseWriter out) {
    RequestId id = requestId(http.headers());
    if (!ready.getAsBoolean()) {
      Problems.write(
          out, id, Refusal.notRun(RefusalReason.NOT_READY, "no configuration has been read yet"));
      return;
    }
    try {
      CallRequest request = factory.create(http);
      if (context.drain().admits(request.deadline())) {
        EntryCall.start(context, request, out);
      } else {
        Problems.write(out, id, EntryService.DRAINING);
      }
    } catch (RefusedException e) {
      Problems.write(out, id, e.refusal());
    }
  }

  private CallRequest createRequest(
      String service, String path, AggregatedHttpRequest http, boolean completion) {
    RequestHeaders headers = http.headers();
    ServiceName name = parse(() -> new ServiceName(service));
    Optional<Profile> profile = profile(name, headers);
    boolean idempotent =
        completion
            || IDEMPOTENT_METHODS.contains(http.method())
            || Boolean.parseBoolean(headers.get(CarobhoistHeaders.IDEMPOTENT, "false"));
    return new CallRequest(
        requestId(headers),
        name,
        profile.map(Profile::name).orElse(NO_PROFILE),
        path,
        http,
        idempotent,
        idempotent ? Optional.empty() : key(headers),
        profile.map(Profile::retry).orElse(DEFAULT_RETRY),
        deadline(headers, profile.map(Profile::deadline).orElse(DEFAULT_DEADLINE)),
        profile.map(Profile::priority).orElse(Priority.STANDARD));
  }

  private Optional<Profile> profile(ServiceName service, RequestHeaders headers) {
    String profileName = headers.get(CarobhoistHeaders.PROFILE);
    if (profileName == null) {
      return profiles.profilesOf(service).stream().findFirst();
    }
    Optional<Profile> found = profiles.profile(parse(() -> new ProfileName(profileName)));
    if (found.isEmpty() || !found.get().service().equals(service)) {
      throw badRequest("profile " + profileName + " is not in force for " + service);
    }
    return found;
  }

  private static Optional<RequestKey> key(RequestHeaders headers) {
    String text = headers.get(CarobhoistHeaders.IDEMPOTENCY_KEY);
    try {
      return Optional.ofNullable(text).map(RequestKey::parse);
    } catch (IllegalArgumentException e) {
      throw RefusedException.of(
          Refusal.notRun(
              RefusalReason.BAD_KEY, "the key is neither issued nor a version 7 UUID: " + text));
    }
  }

  private static Duration deadline(RequestHeaders headers, Duration fallback) {
    String text = headers.get(CarobhoistHeaders.DEADLINE_MILLIS);
    if (text == null) {
      return fallback;
    }
    long millis = parse(() -> Long.parseLong(text));
    if (millis <= 0) {
      throw badRequest("the deadline is not positive");
    }
    return Duration.ofMillis(millis);
  }

  private static String modelOf(AggregatedHttpRequest http) {
    try {
      return StepJson.MAPPER.readTree(http.content().array()).path("model").asText();
    } catch (IOException e) {
      throw badRequest("the body is not JSON");
    }
  }

  private static RequestId requestId(RequestHeaders headers) {
    String given = headers.get(CarobhoistHeaders.REQUEST_ID);
    try {
      return new RequestId(given == null ? UUID.randomUUID().toString() : given);
    } catch (IllegalArgumentException e) {
      return new RequestId(UUID.randomUUID().toString());
    }
  }

  private interface Parser<T> {
    T parse();
  }

  private static <T> T parse(Parser<T> parser) {
    try {
      return parser.parse();
    } catch (IllegalArgumentException e) {
      throw badRequest(e.getMessage());
    }
  }

  private static RefusedException badRequest(String detail) {
    return RefusedException.of(Refusal.notRun(RefusalReason.BAD_REQUEST, detail));
  }
}
