package org.carobhoist.core.idempotency;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.RefusalReason;
import org.carobhoist.core.common.Verdict;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

final class KeyGateTest {

  private static final HomePolicy POLICY = HomePolicy.DEFAULT;
  private static final HomeMember SELF = member("reservas-1", "run-1");
  private static final HomeMember PEER = member("reservas-2", "run-2");
  private static final Fingerprint BODY = Fingerprint.of("POST", "/", new byte[0]);

  private final ManualClock clock = new ManualClock();
  private final Random random = new Random(7);
  private final HomeLease lease = HomeLease.create(POLICY, clock);
  private final HomeHistory history = HomeHistory.create();
  private final DuplicateTable<String> table =
      DuplicateTable.create(DuplicatePolicy.DEFAULT, clock, String::length);
  private final KeyGate<String> gate = KeyGate.create(SELF, POLICY, clock, lease, history, table);
  private final RecordingWaiter waiter = new RecordingWaiter();
  private long offset;

  @Test
  void runsNewKeyAtItsHome() {
    startTenure(SELF);
    assertThat(gate.submit(callerKey(), BODY, waiter)).isTrue();
  }

  @Test
  void refusesNewKeyAfterLeaseExpired() {
    startTenure(SELF);
    clock.advance(POLICY.lease());
    assertRefused(callerKey(), Verdict.NOT_RUN, RefusalReason.KEY_UNAVAILABLE);
    assertThat(waiter.refusals.get(0).detail()).contains("/v1/keys");
  }

  @Test
  void leaseStartsWhenReadIsSent() {
    history.add(view(SELF));
    lease.onReadSent();
    clock.advance(POLICY.lease());
    lease.onCaughtUp();
    assertThat(lease.isValid()).isFalse();
  }

  @Test
  void answersKnownKeyAfterLeaseExpired() {
    startTenure(SELF);
    RequestKey key = callerKey();
    gate.submit(key, BODY, new RecordingWaiter());
    table.finish(key, "seat 7");
    clock.advance(POLICY.lease());
    assertThat(gate.submit(key, BODY, waiter)).isFalse();
    assertThat(waiter.answers).containsExactly("seat 7");
  }

  @Test
  void refusesKeyCreatedUpToTenureFloor() {
    history.add(view(SELF));
    Instant floor = POLICY.floor(clock.now());
    clock.advance(Duration.between(clock.now(), floor));
    renew();
    assertRefused(keyCreatedAt(floor), Verdict.MAY_HAVE_RUN, RefusalReason.KEY_FORGOTTEN);
    assertThat(gate.submit(keyCreatedAt(floor.plusMillis(1)), BODY, waiter)).isTrue();
  }

  @Test
  void refusesKeyOfAnotherHome() {
    startTenure(PEER);
    assertRefused(callerKey(), Verdict.NOT_RUN, RefusalReason.KEY_UNAVAILABLE);
  }

  @Test
  void refusesKeyFromTheFuture() {
    startTenure(SELF);
    Instant latest = clock.now().plus(POLICY.skew());
    assertThat(gate.submit(keyCreatedAt(latest), BODY, waiter)).isTrue();
    assertRefused(keyCreatedAt(latest.plusMillis(1)), Verdict.NOT_RUN, RefusalReason.BAD_KEY);
  }

  @Test
  void runsIssuedKeysWithoutViewOrLease() {
    RequestKey own = RequestKey.issued(SELF, callerKey().id());
    assertThat(gate.submit(own, BODY, waiter)).isTrue();
    RequestKey foreign = RequestKey.issued(PEER, callerKey().id());
    assertRefused(foreign, Verdict.MAY_HAVE_RUN, RefusalReason.KEY_FORGOTTEN);
  }

  @Test
  void startsNewTenureAfterInterruption() {
    startTenure(SELF);
    history.add(view(PEER));
    clock.advance(Duration.ofSeconds(1));
    history.add(view(SELF));
    renew();
    assertRefused(callerKey(), Verdict.MAY_HAVE_RUN, RefusalReason.KEY_FORGOTTEN);
  }

  @Test
  void keepsTenureWhileOtherMembersChange() {
    startTenure(SELF);
    RequestKey key = callerKey();
    Instant since = history.homeSince(SELF, key.id()).orElseThrow();
    for (int i = 0; i < 10; i++) {
      clock.advance(Duration.ofSeconds(1));
      history.add(view(SELF, new HomeMember(SELF.instance(), PEER.incarnation())));
    }
    assertThat(history.homeSince(SELF, key.id())).isEqualTo(java.util.Optional.of(since));
    history.onGap();
    assertThat(history.homeSince(SELF, key.id())).isEmpty();
  }

  @Test
  void parsesBothKindsOfKeys() {
    RequestKey callerKey = callerKey();
    RequestKey issued = RequestKey.issued(member("a.b", "c:d"), callerKey.id());
    assertThat(RequestKey.parse('"' + callerKey.toString() + '"')).isEqualTo(callerKey);
    assertThat(RequestKey.parse(issued.toString())).isEqualTo(issued);
    assertThat(issued.isIssued()).isTrue();
  }

  private void assertRefused(RequestKey key, Verdict verdict, RefusalReason reason) {
    RecordingWaiter recorded = new RecordingWaiter();
    assertThat(gate.submit(key, BODY, recorded)).isFalse();
    assertThat(recorded.refusals).hasSize(1);
    assertThat(recorded.refusals.get(0).verdict()).isEqualTo(verdict);
    assertThat(recorded.refusals.get(0).reason()).isEqualTo(reason);
    waiter.refusals.addAll(recorded.refusals);
  }

  private void startTenure(HomeMember member) {
    history.add(view(member));
    clock.advance(POLICY.lease().plus(POLICY.skew().multipliedBy(2)).plusMillis(1));
    renew();
  }

  private void renew() {
    lease.onReadSent();
    lease.onCaughtUp();
  }

  private HomeView view(HomeMember... members) {
    return new HomeView(++offset, clock.now(), List.of(members));
  }

  private RequestKey callerKey() {
    return keyCreatedAt(clock.now());
  }

  private RequestKey keyCreatedAt(Instant creationTime) {
    return RequestKey.ofCaller(IdempotencyKey.mint(creationTime, random));
  }

  private static HomeMember member(String instance, String run) {
    return new HomeMember(new InstanceId(instance), new Incarnation(run));
  }
}
