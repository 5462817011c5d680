package org.carobhoist.core.idempotency;

import java.time.Instant;
import java.util.Optional;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;

/**
 * Decides at a sidecar whether a keyed request runs. A known key joins the running request or
 * receives the stored outcome, even if the lease has expired since. A new server-issued key runs if
 * it names this incarnation of the sidecar. A new caller-generated key runs if the lease is valid
 * after the request has been received, this incarnation is the key's home, and the key was created
 * after the floor of the tenure (see {@link HomePolicy#floor}); see {@code docs/AT-MOST-ONCE.md}
 * for the proof.
 *
 * @param <A> type of the answers
 */
public final class KeyGate<A> {

  private static final Refusal FROM_FUTURE =
      Refusal.notRun(RefusalReason.BAD_KEY, "the key's creation time lies in the future");
  private static final Refusal LEASE_EXPIRED =
      Refusal.notRun(
          RefusalReason.KEY_UNAVAILABLE,
          "the home of this key can't be established at the moment; resend it later, or, if it was"
              + " never sent before, use a key issued by POST /v1/keys");
  private static final Refusal NOT_HOME =
      Refusal.notRun(RefusalReason.KEY_UNAVAILABLE, "this sidecar is not the home of the key");
  private static final Refusal OTHER_INCARNATION =
      Refusal.mayHaveRun(
          RefusalReason.KEY_FORGOTTEN, "the run of the sidecar that the key names is gone");

  private final HomeMember self;
  private final HomePolicy policy;
  private final Clock clock;
  private final LeaseCheck lease;
  private final TenureFloor tenureFloor;
  private final HomeHistory history;
  private final DuplicateTable<A> table;

  KeyGate(
      HomeMember self,
      HomePolicy policy,
      Clock clock,
      LeaseCheck lease,
      TenureFloor tenureFloor,
      HomeHistory history,
      DuplicateTable<A> table) {
    this.self = self;
    this.policy = policy;
    this.clock = clock;
    this.lease = lease;
    this.tenureFloor = tenureFloor;
    this.history = history;
    this.table = table;
  }

  /** Returns a gate that uses the given lease, history and table of this incarnation. */
  public static <A> KeyGate<A> create(
      HomeMember self,
      HomePolicy policy,
      Clock clock,
      HomeLease lease,
      HomeHistory history,
      DuplicateTable<A> table) {
    return new KeyGate<>(self, policy, clock, lease::isValid, policy::floor, history, table);
  }

  /**
   * Handles a keyed request that has just been received.
   *
   * @return whether the caller must run the request now; otherwise the waiter receives the outcome,
   *     possibly before this method returns
   */
  public boolean submit(RequestKey key, Fingerprint fingerprint, Waiter<A> waiter) {
    if (table.contains(key)) {
      table.join(key, fingerprint, waiter);
      return false;
    }
    if (policy.isFromFuture(key.creationTime(), clock.now())) {
      waiter.onRefused(FROM_FUTURE);
      return false;
    }
    return key.issuer()
        .map(issuer -> submitIssuedKey(issuer, key, fingerprint, waiter))
        .orElseGet(() -> submitCallerKey(key, fingerprint, waiter));
  }

  private boolean submitIssuedKey(
      HomeMember issuer, RequestKey key, Fingerprint fingerprint, Waiter<A> waiter) {
    if (!issuer.equals(self)) {
      waiter.onRefused(OTHER_INCARNATION);
      return false;
    }
    return table.claim(key, fingerprint, Instant.MIN, waiter);
  }

  private boolean submitCallerKey(RequestKey key, Fingerprint fingerprint, Waiter<A> waiter) {
    if (!lease.isValid()) {
      waiter.onRefused(LEASE_EXPIRED);
      return false;
    }
    Optional<Instant> tenureStart = history.homeSince(self, key.id());
    if (tenureStart.isEmpty()) {
      waiter.onRefused(NOT_HOME);
      return false;
    }
    return table.claim(key, fingerprint, tenureFloor.of(tenureStart.get()), waiter);
  }
}
