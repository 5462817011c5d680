package org.carobhoist.server.entry;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;
import org.carobhoist.core.common.RequestId;
import org.carobhoist.core.profile.Profile;
import org.carobhoist.core.profile.ProfileFold;
import org.carobhoist.core.rollout.StepPage;
import org.carobhoist.core.rollout.StepRequest;
import org.carobhoist.trainer.StepRequestMessage;

/** HTTP route for trainers: {@code POST /v1/steps}, a long poll for complete groups of samples. */
final class StepRoutes {

  private static final Duration MAX_WAIT = Duration.ofSeconds(30);

  private final CallContext context;
  private final RequestBodies bodies;
  private final ProfileFold profiles;
  private final BooleanSupplier ready;
  private final StepTable steps;

  StepRoutes(CallContext context, ProfileFold profiles, BooleanSupplier ready, StepTable steps) {
    this.context = context;
    this.bodies = RequestBodies.create(context.loop(), context.drain());
    this.profiles = profiles;
    this.ready = ready;
    this.steps = steps;
  }

  void addTo(ServerBuilder sb) {
    sb.service("/v1/steps", this::serve);
  }

  private HttpResponse serve(ServiceRequestContext ctx, HttpRequest req) {
    return bodies.respond(req, this::handleRequest);
  }

  private CompletableFuture<HttpResponse> handleRequest(AggregatedHttpRequest http) {
    if (!ready.getAsBoolean()) {
      return refuse(RefusalReason.NOT_READY, "no configuration has been read yet");
    }
    try {
      StepRequestMessage message =
          StepJson.MAPPER.readValue(http.content().array(), StepRequestMessage.class);
      StepRequest request = StepJson.fromMessage(message);
      Duration wait = Duration.ofMillis(message.waitMillis());
      return profile(request)
          .map(profile -> awaitPage(profile, request, wait))
          .orElseGet(() -> refuse(RefusalReason.UNKNOWN_SERVICE, "the profile is not in force"));
    } catch (IOException | IllegalArgumentException e) {
      return refuse(RefusalReason.BAD_REQUEST, String.valueOf(e.getMessage()));
    }
  }

  /** Returns the profile; a step that began before its profile was retired may still finish. */
  private Optional<Profile> profile(StepRequest request) {
    boolean alreadyStarted = steps.contains(request.key()) || request.cursor().count() > 0;
    ProfileName name = request.key().profile();
    return alreadyStarted ? profiles.profileOrLast(name) : profiles.profile(name);
  }

  private CompletableFuture<HttpResponse> awaitPage(
      Profile profile, StepRequest request, Duration wait) {
    Duration bounded = wait.compareTo(MAX_WAIT) > 0 ? MAX_WAIT : wait;
    if (!context.drain().admits(bounded)) {
      return refuse(EntryService.DRAINING.reason(), EntryService.DRAINING.detail());
    }
    return steps.request(profile, request, bounded).thenApply(this::toResponse);
  }

  private HttpResponse toResponse(StepPage page) {
    context.metrics().onDelivered(page.groups().stream().mapToInt(g -> g.samples().size()).sum());
    try {
      byte[] body = StepJson.MAPPER.writeValueAsBytes(StepJson.toMessage(page));
      return HttpResponse.of(HttpStatus.OK, MediaType.JSON, body);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static CompletableFuture<HttpResponse> refuse(RefusalReason reason, String detail) {
    RequestId id = new RequestId(UUID.randomUUID().toString());
    return CompletableFuture.completedFuture(Problems.response(id, Refusal.notRun(reason, detail)));
  }
}
