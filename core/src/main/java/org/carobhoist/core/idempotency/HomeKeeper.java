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
 * <p>A wrong view never causes a request to run twice; it only makes keys wait for a new tenure.
 */
public final class HomeKeeper {

  static final Duration FIRST_WINDOW = Duration.ofMillis(500);
  static final Duration LONGEST_WINDOW = Duration.ofSeconds(16);
  static final Duration ANSWER_TIME = Duration.ofSeconds(1);
  static final Duration RENEWAL_AGE = Duration.ofMinutes(10);

  private final HomeMember self;
  private final HomePort port;
  private final Clock clock;
  private final RandomGenerator random;
  private final HomeLease lease;
  private final HomeHistory history;
  private Duration window = FIRST_WINDOW;
  private Duration due;
  private Duration nextRenewal = Duration.ZERO;
  private boolean leaving;

  private HomeKeeper(
      HomeMember self,
      HomePort port,
      Clock clock,
      RandomGenerator random,
      HomeLease lease,
      HomeHistory history) {
    this.self = self;
    this.port = port;
    this.clock = clock;
    this.random = random;
    this.lease = lease;
    this.history = history;
  }

  /** Returns a registrar for a sidecar that serves. */
  public static HomeKeeper create(
      HomeMember self,
      HomePort port,
      Clock clock,
      RandomGenerator random,
      HomeLease lease,
      HomeHistory history) {
    return new HomeKeeper(self, port, clock, random, lease, history);
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
    due = null;
    window = FIRST_WINDOW;
    renew(view.get());
  }

  /** Removes the sidecar from the view permanently. */
  public void leave() {
    leaving = true;
    history
        .current()
        .filter(v -> v.contains(self))
        .ifPresent(v -> port.append(v.membersWithout(self)));
  }

  private void joinWhenDue(Optional<HomeView> view) {
    Duration now = clock.elapsed();
    if (due == null) {
      due = now.plus(draw(window));
    }
    if (now.compareTo(due) < 0) {
      return;
    }
    port.append(view.map(v -> v.membersWith(self)).orElse(List.of(self)));
    window = window.multipliedBy(2);
    if (window.compareTo(LONGEST_WINDOW) > 0) {
      window = LONGEST_WINDOW;
    }
    due = now.plus(ANSWER_TIME).plus(draw(window));
  }

  private void renew(HomeView view) {
    boolean first = view.members().get(0).equals(self);
    Duration age = Duration.between(view.time(), clock.now());
    Duration limit = first ? RENEWAL_AGE : RENEWAL_AGE.multipliedBy(2);
    if (age.compareTo(limit) > 0 && clock.elapsed().compareTo(nextRenewal) >= 0) {
      nextRenewal = clock.elapsed().plus(LONGEST_WINDOW);
      port.append(view.members());
    }
  }

  private Duration draw(Duration bound) {
    return Duration.ofNanos(random.nextLong(bound.toNanos()));
  }
}
