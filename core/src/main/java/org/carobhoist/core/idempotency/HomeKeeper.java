package org.carobhoist.core.idempotency;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carobhoist.core.common.Clock;

/**
 * Keeps one sidecar in the home view of its service while it serves. A sidecar that isn't in the
 * view in force appends one that has it. Two that append at once may drop one another, since the
 * newest record wins; the one that finds itself dropped appends again after a random delay, whose
 * bound doubles with each attempt, so that a mass start settles with few appends. A leaving sidecar
 * appends a view without itself. The first member renews a view before the log's retention ends.
 * Nothing here can cause a second run: a view that is wrong only makes keys wait for a new tenure.
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

  /** Returns a keeper for a sidecar that serves. */
  public static HomeKeeper create(
      HomeMember self,
      HomePort port,
      Clock clock,
      RandomGenerator random,
      HomeLease lease,
      HomeHistory history) {
    return new HomeKeeper(self, port, clock, random, lease, history);
  }

  /** Appends a view where one is due; to be called several times a second. */
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

  /** Takes the sidecar out of the view for good. */
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
