package org.carobhoist.server.entry;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;
import org.carobhoist.core.common.RequestId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.idempotency.RequestKey;
import org.carobhoist.core.routing.EndpointView;
import org.carobhoist.core.routing.RouteQuery;

/**
 * HTTP route that issues idempotency keys: {@code POST /v1/keys?service=NAME&count=N}. Each key
 * names the current incarnation of one sidecar. The router chooses the sidecar as for a request, so
 * that the keys are spread over the endpoints.
 */
final class KeyRoutes {

  private static final int MAX_KEYS_PER_REQUEST = 1_000;

  private final CallContext context;
  private final RequestBodies bodies;

  /** The response: keys that callers send in the header {@code Idempotency-Key}. */
  record KeysMessage(String service, List<String> keys) {}

  KeyRoutes(CallContext context) {
    this.context = context;
    this.bodies = RequestBodies.create(context.loop(), context.drain());
  }

  void addTo(ServerBuilder sb) {
    sb.route().post("/v1/keys").build(this::issue);
  }

  private HttpResponse issue(ServiceRequestContext ctx, HttpRequest req) {
    return bodies.respond(
        req,
        http ->
            CompletableFuture.completedFuture(
                issue(ctx.queryParam("service"), ctx.queryParam("count"))));
  }

  private HttpResponse issue(String service, String count) {
    ServiceName name;
    int keyCount;
    try {
      name = new ServiceName(service);
      keyCount = count == null ? 1 : Integer.parseInt(count);
    } catch (IllegalArgumentException e) {
      return refuse(RefusalReason.BAD_REQUEST, e.getMessage());
    }
    if (keyCount < 1 || keyCount > MAX_KEYS_PER_REQUEST) {
      return refuse(
          RefusalReason.BAD_REQUEST, "count must lie between 1 and " + MAX_KEYS_PER_REQUEST);
    }
    List<String> keys = new ArrayList<>();
    for (int i = 0; i < keyCount; i++) {
      mintKey(name).ifPresent(key -> keys.add(key.toString()));
    }
    if (keys.size() < keyCount) {
      return refuse(RefusalReason.NO_ENDPOINT, "no endpoint of " + name + " is usable");
    }
    return HttpResponse.ofJson(HttpStatus.OK, MediaType.JSON, new KeysMessage(name.value(), keys));
  }

  private Optional<RequestKey> mintKey(ServiceName service) {
    RouteQuery query = new RouteQuery(service, context.zone(), Set.of(), 0);
    Optional<InstanceId> endpoint =
        context
            .router()
            .choose(query, context.links().directory().viewsOf(service))
            .map(EndpointView::instance);
    return endpoint.flatMap(context.keyRouter()::mintKey);
  }

  private static HttpResponse refuse(RefusalReason reason, String detail) {
    RequestId id = new RequestId(UUID.randomUUID().toString());
    return Problems.response(id, Refusal.notRun(reason, detail));
  }
}
