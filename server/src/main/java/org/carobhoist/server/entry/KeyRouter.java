package org.carobhoist.server.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Executor;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.idempotency.HomeFailureDetector;
import org.carobhoist.core.idempotency.HomeMember;
import org.carobhoist.core.idempotency.HomeSelector;
import org.carobhoist.core.idempotency.HomeView;
import org.carobhoist.core.idempotency.IdempotencyKey;
import org.carobhoist.core.idempotency.RequestKey;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.logservice.HomeRecords;
import org.carobhoist.server.logservice.HomeViewReader;
import org.carobhoist.server.logservice.LogReadListener;
import org.carobhoist.server.logservice.PlatformLog;

/**
 * Finds the one endpoint that may execute a request with an idempotency key, and mints keys. A key
 * that an entry issued belongs to its issuer, the sidecar incarnation that is named in the key; a
 * key chosen by the caller belongs to its home, one of the sidecars in the {@link HomeView} of the
 * service. An entry needs no lease: if its view is stale, it sends the request to a sidecar that
 * refuses it. Used on the decision loop.
 */
final class KeyRouter {

  private static final Refusal ISSUER_UNREACHABLE =
      Refusal.mayHaveRun(RefusalReason.KEY_FORGOTTEN, "the issuer of the key can't be reached");
  private static final Refusal HOME_UNREACHABLE =
      Refusal.notRun(
          RefusalReason.KEY_UNAVAILABLE,
          "the home of this key can't be reached at the moment; resend it later, or, if it was"
              + " never sent before, use a key issued by POST /v1/keys");

  private final Clock clock;
  private final LinkPool links;
  private final PlatformLog log;
  private final Random random;
  private final HomeFailureDetector failureDetector;
  private final Map<ServiceName, HomeView> views = new HashMap<>();

  KeyRouter(Clock clock, LinkPool links, PlatformLog log, Random random) {
    this.clock = clock;
    this.links = links;
    this.log = log;
    this.random = random;
    this.failureDetector = HomeFailureDetector.create(clock);
  }

  /** Returns a listener that keeps the home views up to date from the process's log reads. */
  LogReadListener listener(Executor loop) {
    return HomeViewReader.create(log, loop, views::put, new NoOpLeaseEvents());
  }

  /** Returns a refusal if the endpoint for the key isn't linked; empty if it is. */
  Optional<Refusal> findRefusal(ServiceName service, RequestKey key) {
    if (endpointOf(service, key).isPresent()) {
      return Optional.empty();
    }
    return Optional.of(key.isIssued() ? ISSUER_UNREACHABLE : HOME_UNREACHABLE);
  }

  /** Returns the only endpoint that may execute a request with the key, if it is linked. */
  Optional<InstanceId> endpointOf(ServiceName service, RequestKey key) {
    return key.issuer().map(this::findIssuer).orElseGet(() -> findHome(service, key.id()));
  }

  /** Returns a new key that only the current incarnation of an endpoint's sidecar may execute. */
  Optional<RequestKey> mintKey(InstanceId endpoint) {
    return links
        .directory()
        .announcement(endpoint)
        .map(a -> new HomeMember(endpoint, a.incarnation()))
        .map(issuer -> RequestKey.issued(issuer, IdempotencyKey.mint(clock.now(), random)));
  }

  /** Returns the issuer if it is linked; otherwise {@link LinkPool#link} starts to open a link. */
  private Optional<InstanceId> findIssuer(HomeMember issuer) {
    return links
        .link(issuer.instance())
        .filter(link -> link.peer().getIncarnation().equals(issuer.incarnation().value()))
        .map(link -> issuer.instance());
  }

  /** Returns the home if it is linked; if it stays unreachable, appends a view without it. */
  private Optional<InstanceId> findHome(ServiceName service, IdempotencyKey key) {
    Optional<HomeView> view = Optional.ofNullable(views.get(service));
    Optional<HomeMember> home = view.flatMap(v -> HomeSelector.homeOf(v, key));
    if (home.isEmpty()) {
      return Optional.empty();
    }
    if (links.link(home.get().instance()).isPresent()) {
      failureDetector.onReachable(home.get());
      return Optional.of(home.get().instance());
    }
    if (failureDetector.onUnreachable(home.get())) {
      removeFromView(service, view.get(), home.get());
    }
    return Optional.empty();
  }

  private void removeFromView(ServiceName service, HomeView view, HomeMember member) {
    EventLog.warn(
        LogEvent.HOME_REMOVED,
        "service",
        service,
        "instance",
        member.instance(),
        "view",
        view.offset());
    log.append(HomeRecords.encode(service, view.membersWithout(member)))
        .exceptionally(
            failure -> {
              EventLog.warn(LogEvent.HOME_VIEW_UNKNOWN, "cause", failure.getMessage());
              return null;
            });
  }

  /** Ignores all events: an entry holds no lease, since sidecars refuse misrouted requests. */
  private static final class NoOpLeaseEvents implements HomeViewReader.LeaseEvents {

    @Override
    public void onReadSent() {}

    @Override
    public void onGap() {}

    @Override
    public void onCaughtUp() {}
  }
}
