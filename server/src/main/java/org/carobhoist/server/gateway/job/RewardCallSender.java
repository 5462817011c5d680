package org.carobhoist.server.gateway.job;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatusClass;
import com.linecorp.armeria.common.RequestHeaders;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.job.RewardRequest;
import org.carobhoist.core.manifest.Manifest;
import org.carobhoist.core.manifest.ManifestHolder;
import org.carobhoist.core.manifest.Route;
import org.carobhoist.core.manifest.RouteKind;
import org.carobhoist.core.membership.ServerEntry;
import org.carobhoist.core.reward.RewardAnswer;
import org.carobhoist.core.reward.RewardCallScheduler;
import org.carobhoist.core.reward.RewardKey;
import org.carobhoist.core.reward.RewardPort;
import org.carobhoist.core.routing.EndpointView;
import org.carobhoist.core.routing.RouteQuery;
import org.carobhoist.platform.CallHeaders;
import org.carobhoist.server.gateway.capacity.AttemptMeasurement;
import org.carobhoist.server.gateway.ingress.ForwardContext;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/**
 * Sends this process's reward calls to services. They use the same routes, router and load
 * information as forwarded client requests.
 */
public final class RewardCallSender implements RewardPort {

  private static final int SERVER_ERROR = 500;

  private final ForwardContext context;
  private final ManifestHolder manifests;
  private final Map<Long, Attempt> attempts = new HashMap<>();
  private RewardCallScheduler rewardCalls;

  /** An attempt that has been sent and not answered yet. */
  private record Attempt(
      ServiceName service,
      InstanceId endpoint,
      Duration sentAt,
      HttpResponse response,
      AttemptMeasurement measurement) {}

  /** Creates a sender of reward calls. */
  public RewardCallSender(ForwardContext context, ManifestHolder manifests) {
    this.context = context;
    this.manifests = manifests;
  }

  /** Sets the receiver of the responses. */
  public void setRewardCalls(RewardCallScheduler newRewardCalls) {
    rewardCalls = newRewardCalls;
  }

  @Override
  public Optional<RewardPort.Destination> destination(RewardRequest request) {
    return route(request)
        .map(
            r ->
                new RewardPort.Destination(
                    r.selectService(context.random()), r.retry().maxAttempts()));
  }

  private Optional<Route> route(RewardRequest request) {
    Optional<Manifest> manifest = manifests.current();
    int query = request.path().indexOf('?');
    String path = query < 0 ? request.path() : request.path().substring(0, query);
    return manifest
        .flatMap(m -> m.findRoute(request.host(), path))
        .filter(r -> r.kind() == RouteKind.IDEMPOTENT || r.kind() == RouteKind.NON_IDEMPOTENT);
  }

  @Override
  public Collection<EndpointView> endpoints(ServiceName service) {
    return context.directory().viewsOf(service);
  }

  @Override
  public Optional<InstanceId> choose(
      ServiceName service, Collection<EndpointView> among, Set<InstanceId> excluded) {
    RouteQuery query = new RouteQuery(service, context.zone(), excluded, 0);
    RouteQuery any = new RouteQuery(service, context.zone(), Set.of(), 0);
    return context
        .router()
        .choose(query, among)
        .or(() -> context.router().choose(any, among))
        .map(EndpointView::instance);
  }

  @Override
  public void send(
      long number,
      ServiceName service,
      InstanceId endpoint,
      RewardRequest request,
      Duration timeout) {
    Optional<ServerEntry> server = context.servers().entry(endpoint);
    if (server.isEmpty()) {
      String reason = "the endpoint is no longer registered";
      context.loop().execute(() -> rewardCalls.onAnswer(number, new RewardAnswer.Failure(reason)));
      return;
    }
    RequestHeaders headers = CallHeaders.forReward(request, endpoint, timeout);
    HttpResponse response =
        context
            .upstreams()
            .sendBuffered(
                server.get().address(),
                HttpRequest.of(headers, HttpData.wrap(request.body())),
                timeout);
    context.directory().onRequestStarted(endpoint);
    attempts.put(
        number,
        new Attempt(
            service, endpoint, context.clock().elapsed(), response, context.measure(endpoint)));
    response
        .aggregate()
        .whenCompleteAsync(
            Callbacks.reported((answer, failure) -> onAnswer(number, answer, failure)),
            context.loop());
  }

  @Override
  public void cancel(long number) {
    Attempt sent = removeAttempt(number);
    if (sent != null) {
      sent.response().abort();
    }
  }

  @Override
  public void logDecision(Decision decision, RewardKey key, Object... fields) {
    LogEvent event =
        switch (decision) {
          case SCORED -> LogEvent.REWARD_SCORED;
          case FAILED -> LogEvent.REWARD_TRY_FAILED;
          case GIVEN_UP -> LogEvent.REWARD_GIVEN_UP;
        };
    List<Object> all = new ArrayList<>(List.of("job", key.job(), "item", key.item()));
    all.addAll(List.of(fields));
    EventLog.info(event, all.toArray());
  }

  private void onAnswer(long number, AggregatedHttpResponse answer, Throwable failure) {
    Attempt sent = removeAttempt(number);
    if (sent == null) {
      return;
    }
    RewardAnswer result =
        failure == null ? decode(sent, answer) : new RewardAnswer.Failure(String.valueOf(failure));
    Duration duration = context.clock().elapsed().minus(sent.sentAt());
    boolean answered = !(result instanceof RewardAnswer.Failure);
    if (answered) {
      context.router().onSuccess(sent.service(), sent.endpoint(), duration);
      sent.measurement().onAnswered(answer.status().code());
    } else if (failure != null || !CallHeaders.isNotRun(answer.headers())) {
      context.router().onFailure(sent.service(), sent.endpoint());
      sent.measurement().onFailed();
    }
    rewardCalls.onAnswer(number, result);
  }

  private RewardAnswer decode(Attempt sent, AggregatedHttpResponse answer) {
    context.onResponseHeaders(sent.endpoint(), answer.headers());
    Optional<String> stamp = CallHeaders.stamp(answer.headers());
    int status = answer.status().code();
    if (stamp.isPresent() && answer.status().codeClass() == HttpStatusClass.SUCCESS) {
      return new RewardAnswer.Score(stamp.get());
    }
    boolean endpointError = stamp.isPresent() && status == SERVER_ERROR;
    return endpointError
        ? new RewardAnswer.EndpointError()
        : new RewardAnswer.Failure("status " + status);
  }

  private Attempt removeAttempt(long number) {
    Attempt sent = attempts.remove(number);
    if (sent != null) {
      context.directory().onRequestEnded(sent.endpoint());
    }
    return sent;
  }
}
