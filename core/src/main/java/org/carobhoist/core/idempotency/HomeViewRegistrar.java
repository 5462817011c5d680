package org.carobhoist.core.idempotency;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carobhoist.core.common.Clock;

/**
 * Keeps one sidecar registered in the home view of its service while it serves. A sidecar that is
 * missing from the current view appends a view that includes it. Since the newest record wins,
 * sidecars that append concurrently may overwrite each other's registration; a sidecar that is
 * missing again retries after a random delay whose bound doubles with each attempt, so that
 * simultaneous starts converge with few appends. A leaving sidecar appends a view without itself.
 * The first member renews the view before the log's retention expires it; any other member does so
 * if the view reaches twice that age.
 *
 * <p>A wrong view never causes a request to run twice; it only makes keys wait for a new tenure
 * (see {@link HomeHistory}).
 */
public final class HomeViewRegistrar {

  static final Duration INITIAL_BACKOFF = Duration.ofMillis(500);
  static final Duration MAX_BACKOFF = Duration.ofSeconds(16);
  static final Duration APPEND_TIMEOUT = Duration.ofSeconds(1);
  static final Duration RENEWAL_AGE = Duration.ofMinutes(10);

  private final HomeMember self;
  private final HomeViewAppender appender;
  private final Clock clock;
  private final RandomGenerator random;
  private final HomeLease lease;
  private final HomeHistory history;
  private Duration backoffBound = INITIAL_BACKOFF;
  private Duration nextJoinAttempt;
  private Duration nextRenewal = Duration.ZERO;
  private boolean leaving;

  private HomeViewRegistrar(
      HomeMember self,
      HomeViewAppender appender,
      Clock clock,
      RandomGenerator random,
      HomeLease lease,
      HomeHistory history) {
    this.self = self;
    this.appender = appender;
    this.clock = clock;
    this.random = random;
    this.lease = lease;
    this.history = history;
  }

  /** Returns a registrar for a sidecar that serves. */
  public static HomeViewRegistrar create(
      HomeMember self,
      HomeViewAppender appender,
      Clock clock,
      RandomGenerator random,
      HomeLease lease,
      HomeHistory history) {
    return new HomeViewRegistrar(self, appender, clock, random, lease, history);
  }

  /** Appends a view if one is due; must be called several times per second. */
  public void tick() {
    if (leaving || !lease.isValid()) {
      return;
    }
    Optional<HomeView> view = history.current();
    if (view.filter(v -> v.contains(self)).isEmpty()) {
      joinWhenDue(view);
      return;
    }
    nextJoinAttempt = null;
    backoffBound = INITIAL_BACKOFF;
    renew(view.get());
  }

  /** Removes the sidecar from the view permanently. */
  public void leave() {
    leaving = true;
    history
        .current()
        .filter(v -> v.contains(self))
        .ifPresent(v -> appender.append(v.membersWithout(self)));
  }

  private void joinWhenDue(Optional<HomeView> view) {
    Duration now = clock.elapsed();
    if (nextJoinAttempt == null) {
      nextJoinAttempt = now.plus(randomDelay(backoffBound));
    }
    if (now.compareTo(nextJoinAttempt) < 0) {
      return;
    }
    appender.append(view.map(v -> v.membersWith(self)).orElse(List.of(self)));
    backoffBound = backoffBound.multipliedBy(2);
    if (backoffBound.compareTo(MAX_BACKOFF) > 0) {
      backoffBound = MAX_BACKOFF;
    }
    nextJoinAttempt = now.plus(APPEND_TIMEOUT).plus(randomDelay(backoffBound));
  }

  private void renew(HomeView view) {
    boolean isFirstMember = view.members().get(0).equals(self);
    Duration age = Duration.between(view.time(), clock.now());
    Duration renewalAge = isFirstMember ? RENEWAL_AGE : RENEWAL_AGE.multipliedBy(2);
    if (age.compareTo(renewalAge) > 0 && clock.elapsed().compareTo(nextRenewal) >= 0) {
      nextRenewal = clock.elapsed().plus(MAX_BACKOFF);
      appender.append(view.members());
    }
  }

  private Duration randomDelay(Duration bound) {
    return Duration.ofNanos(random.nextLong(bound.toNanos()));
  }
}
