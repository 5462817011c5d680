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
  void runsFreshKeyAtItsHome() {
    settle(SELF);
    assertThat(gate.submit(callersKey(), BODY, waiter)).isTrue();
  }

  @Test
  void refusesWithoutLease() {
    settle(SELF);
    clock.advance(POLICY.lease());
    assertRefused(callersKey(), Verdict.NOT_RUN, RefusalReason.KEY_UNAVAILABLE);
    assertThat(waiter.refusals.get(0).detail()).contains("/v1/keys");
  }

  @Test
  void countsTheLeaseFromTheSendingOfTheRead() {
    history.add(view(SELF));
    lease.onReadSent();
    clock.advance(POLICY.lease());
    lease.onCaughtUp();
    assertThat(lease.isValid()).isFalse();
  }

  @Test
  void answersKnownKeyWithoutLease() {
    settle(SELF);
    RequestKey key = callersKey();
    gate.submit(key, BODY, new RecordingWaiter());
    table.finish(key, "seat 7");
    clock.advance(POLICY.lease());
    assertThat(gate.submit(key, BODY, waiter)).isFalse();
    assertThat(waiter.answers).containsExactly("seat 7");
  }

  @Test
  void refusesKeyBornUpToTheFloorOfTheTenure() {
    history.add(view(SELF));
    Instant floor = POLICY.floor(clock.now());
    clock.advance(Duration.between(clock.now(), floor));
    renew();
    assertRefused(keyBorn(floor), Verdict.MAY_HAVE_RUN, RefusalReason.KEY_FORGOTTEN);
    assertThat(gate.submit(keyBorn(floor.plusMillis(1)), BODY, waiter)).isTrue();
  }

  @Test
  void refusesAsNoHome() {
    settle(PEER);
    assertRefused(callersKey(), Verdict.NOT_RUN, RefusalReason.KEY_UNAVAILABLE);
  }

  @Test
  void refusesKeyFromTheFuture() {
    settle(SELF);
    Instant edge = clock.now().plus(POLICY.skew());
    assertThat(gate.submit(keyBorn(edge), BODY, waiter)).isTrue();
    assertRefused(keyBorn(edge.plusMillis(1)), Verdict.NOT_RUN, RefusalReason.BAD_KEY);
  }

  @Test
  void runsIssuedKeysWithoutViewOrLease() {
    RequestKey own = RequestKey.issued(SELF, callersKey().id());
    assertThat(gate.submit(own, BODY, waiter)).isTrue();
    RequestKey foreign = RequestKey.issued(PEER, callersKey().id());
    assertRefused(foreign, Verdict.MAY_HAVE_RUN, RefusalReason.KEY_FORGOTTEN);
  }

  @Test
  void beginsNewTenureAfterBreak() {
    settle(SELF);
    history.add(view(PEER));
    clock.advance(Duration.ofSeconds(1));
    history.add(view(SELF));
    renew();
    assertRefused(callersKey(), Verdict.MAY_HAVE_RUN, RefusalReason.KEY_FORGOTTEN);
  }

  @Test
  void keepsItsTenureWhileOthersComeAndGo() {
    settle(SELF);
    RequestKey key = callersKey();
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
    RequestKey callers = callersKey();
    RequestKey issued = RequestKey.issued(member("a.b", "c:d"), callers.id());
    assertThat(RequestKey.parse('"' + callers.toString() + '"')).isEqualTo(callers);
    assertThat(RequestKey.parse(issued.toString())).isEqualTo(issued);
    assertThat(issued.isIssued()).isTrue();
  }

  private void assertRefused(RequestKey key, Verdict verdict, RefusalReason reason) {
    RecordingWaiter told = new RecordingWaiter();
    assertThat(gate.submit(key, BODY, told)).isFalse();
    assertThat(told.refusals).hasSize(1);
    assertThat(told.refusals.get(0).verdict()).isEqualTo(verdict);
    assertThat(told.refusals.get(0).reason()).isEqualTo(reason);
    waiter.refusals.addAll(told.refusals);
  }

  private void settle(HomeMember member) {
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

  private RequestKey callersKey() {
    return keyBorn(clock.now());
  }

  private RequestKey keyBorn(Instant birth) {
    return RequestKey.ofCaller(IdempotencyKey.mint(birth, random));
  }

  private static HomeMember member(String instance, String run) {
    return new HomeMember(new InstanceId(instance), new Incarnation(run));
  }
}
