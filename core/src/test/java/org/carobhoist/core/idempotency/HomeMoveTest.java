package org.carobhoist.core.idempotency;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Verdict;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

/** Two sidecars with different clocks that both consider themselves the home of a key. */
final class HomeMoveTest {

  private static final HomePolicy POLICY = HomePolicy.DEFAULT;
  private static final Fingerprint BODY = Fingerprint.of("POST", "/", new byte[0]);
  private static final Duration ONE_MILLISECOND = Duration.ofMillis(1);

  private final ManualClock time = new ManualClock();
  private final Random random = new Random(3);
  private final Home old = new Home("old", GateRules.sound());
  private final Home next = new Home("next", GateRules.sound());

  @Test
  void neverRunsAtBothHomesWhileOldLeaseIsValid() {
    move();
    int ranAtOld = 0;
    int ranAtNext = 0;
    for (int i = 0; i < 400; i++) {
      RequestKey key = keyCreatedAt(time.now());
      boolean first = old.runs(key);
      next.renew();
      boolean second = next.runs(key);
      assertThat(first && second).isFalse();
      ranAtOld += first ? 1 : 0;
      ranAtNext += second ? 1 : 0;
      time.advance(Duration.ofMillis(50));
      sync();
    }
    assertThat(ranAtOld).isGreaterThan(0);
    assertThat(ranAtNext).isGreaterThan(0);
  }

  @Test
  void homePausedUntilLeaseExpiresDoesNotRunReceivedRequest() {
    final RequestKey key = keyCreatedAt(time.now());
    move();
    time.advance(POLICY.lease());
    sync();
    assertThat(old.runs(key)).isFalse();
    assertThat(old.waiter.refusals.get(0).verdict()).isEqualTo(Verdict.NOT_RUN);
  }

  @Test
  void maximumSkewDoesNotRunRequestTwice() {
    old.clock.setSkew(POLICY.skew());
    move();
    RequestKey key = latestKeyOfOldHome();
    assertThat(old.runs(key)).isTrue();
    waitOutSkewAndRenewNext();
    assertThat(next.runs(key)).isFalse();
    assertThat(next.waiter.refusals.get(0).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
  }

  @Test
  void floorWithSingleSkewRunsRequestTwice() {
    GateRules faultyRules =
        GateRules.sound().withTenureFloor(s -> s.plus(POLICY.lease()).plus(POLICY.skew()));
    Home faulty = new Home("next", faultyRules);
    old.clock.setSkew(POLICY.skew());
    move();
    faulty.history.add(view(2, faulty));
    RequestKey key = latestKeyOfOldHome();
    assertThat(old.runs(key)).isTrue();
    time.advance(POLICY.skew().multipliedBy(3));
    faulty.clock.advance(time.elapsed());
    faulty.renew();
    assertThat(faulty.runs(key)).isTrue();
  }

  /** Documented limit: with clock skew beyond the bound, both homes run the request. */
  @Test
  void skewBeyondBoundRunsRequestTwice() {
    old.clock.setSkew(POLICY.skew().plusMillis(2));
    move();
    RequestKey key = latestKeyOfOldHome();
    assertThat(old.runs(key)).isTrue();
    waitOutSkewAndRenewNext();
    assertThat(next.runs(key)).isTrue();
  }

  /** The old home renews its lease for the last time right before the move. */
  private void move() {
    old.history.add(view(1, old));
    time.advance(Duration.ofSeconds(30));
    sync();
    old.renew();
    next.history.add(view(2, next));
  }

  private RequestKey latestKeyOfOldHome() {
    time.advance(POLICY.lease().minus(ONE_MILLISECOND));
    sync();
    return keyCreatedAt(old.clock.now().plus(POLICY.skew()));
  }

  private void waitOutSkewAndRenewNext() {
    time.advance(POLICY.skew().multipliedBy(3));
    sync();
    next.renew();
  }

  private void sync() {
    old.clock.advance(time.elapsed().minus(old.clock.elapsed()));
    next.clock.advance(time.elapsed().minus(next.clock.elapsed()));
  }

  private HomeView view(long offset, Home home) {
    return new HomeView(offset, time.now(), List.of(home.self));
  }

  private RequestKey keyCreatedAt(Instant creationTime) {
    return RequestKey.ofCaller(IdempotencyKey.mint(creationTime, random));
  }

  private static final class Home {

    private final ManualClock clock = new ManualClock();
    private final HomeMember self;
    private final HomeHistory history = HomeHistory.create();
    private final HomeLease lease = HomeLease.create(POLICY, clock);
    private final RecordingWaiter waiter = new RecordingWaiter();
    private final KeyGate<String> gate;

    private Home(String name, GateRules rules) {
      self = new HomeMember(new InstanceId(name), new Incarnation(name + "-run"));
      gate = rules.gate(self, clock, lease, history, rules.table(DuplicatePolicy.DEFAULT, clock));
    }

    private void renew() {
      lease.onReadSent();
      lease.onCaughtUp();
    }

    private boolean runs(RequestKey key) {
      return gate.submit(key, BODY, waiter);
    }
  }
}
