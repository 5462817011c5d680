package org.carobhoist.core.limit;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

/** Guards against bodies that fill the memory, or that keep others from being received. */
final class BodyAdmissionTest {

  private static final long BUDGET = 10_000_000;
  private static final long MAX_BODY = 8_000_000;
  private static final long PART = 8_192;
  private static final Duration STALL = BodyPolicy.DEFAULT.stallTime();

  private final ManualClock clock = new ManualClock();
  private final BufferBudget budget = BufferBudget.create(BUDGET);
  private final BodyAdmission admission = BodyAdmission.create(budget, BodyPolicy.DEFAULT, clock);
  private final List<String> events = new ArrayList<>();
  private Consumer<String> onRefused = name -> {};

  private BodyAdmission.Body open(String name, OptionalLong length) {
    return admission.open(
        length,
        MAX_BODY,
        new BodyListener() {
          @Override
          public void onResume() {
            events.add(name + " resumed");
          }

          @Override
          public void onRefused(BodyRefusal cause) {
            events.add(name + " " + cause);
            onRefused.accept(name);
          }
        });
  }

  /** Receives bytes until the body must wait; returns whether all were received. */
  private static boolean receive(BodyAdmission.Body body, long bytes) {
    for (long received = 0; received < bytes; received += PART) {
      if (!body.onBytes(Math.min(PART, bytes - received))) {
        return false;
      }
    }
    return true;
  }

  @Test
  void bodyOfMaximumSizeIsReceivedAlone() {
    BodyAdmission.Body body = open("large", OptionalLong.of(MAX_BODY));
    assertThat(receive(body, MAX_BODY)).isTrue();
    assertThat(body.complete(1)).isTrue();
    body.close();
    assertThat(budget.heldBytes()).isEqualTo(0);
  }

  @Test
  void chunkedBodyOfMaximumSizeIsReceivedAlone() {
    BodyAdmission.Body body = open("large", OptionalLong.empty());
    assertThat(receive(body, MAX_BODY)).isTrue();
    assertThat(body.complete(1)).isTrue();
  }

  @Test
  void jobOfMaximumSizeIsAcceptedAlone() {
    BodyAdmission.Body body = open("job", OptionalLong.of(MAX_BODY));
    assertThat(receive(body, MAX_BODY)).isTrue();
    assertThat(body.complete(4)).isTrue();
  }

  @Test
  void secondLargeBodyWaitsForTheFirstAndSmallOneDoesNot() {
    BodyAdmission.Body first = open("first", OptionalLong.of(MAX_BODY));
    assertThat(receive(first, MAX_BODY)).isTrue();
    BodyAdmission.Body second = open("second", OptionalLong.of(MAX_BODY));
    assertThat(receive(second, MAX_BODY)).isFalse();
    BodyAdmission.Body small = open("small", OptionalLong.of(20_000));
    assertThat(receive(small, 20_000)).isTrue();
    assertThat(small.complete(1)).isTrue();
    assertThat(first.complete(1)).isTrue();
    assertThat(events).isEmpty();
    first.close();
    assertThat(events).containsExactly("second resumed");
    assertThat(admission.pauses()).isEqualTo(1);
  }

  @Test
  void stalledBodyYieldsToOneThatWaits() {
    BodyAdmission.Body stalled = open("stalled", OptionalLong.of(MAX_BODY));
    assertThat(receive(stalled, MAX_BODY - 10)).isTrue();
    receive(open("waiting", OptionalLong.of(MAX_BODY)), MAX_BODY);
    admission.tick();
    assertThat(events).isEmpty();
    clock.advance(STALL);
    admission.tick();
    assertThat(events).containsExactly("stalled MEMORY", "waiting resumed").inOrder();
  }

  @Test
  void chunkedBodiesThatWaitForEachOtherLeaveMemoryToTheRest() {
    List<BodyAdmission.Body> bodies = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      bodies.add(open("b" + i, OptionalLong.empty()));
    }
    boolean anyReads = true;
    while (anyReads) {
      anyReads = false;
      for (BodyAdmission.Body b : bodies) {
        anyReads |= b.grantedBytes() < MAX_BODY && b.onBytes(PART);
      }
    }
    admission.tick();
    assertThat(events.get(0)).endsWith("MEMORY");
    assertThat(events.get(1)).endsWith("resumed");
  }

  @Test
  void manyIncompleteBodiesStayWithinTheBudget() {
    for (int i = 0; i < 500; i++) {
      receive(open("b" + i, OptionalLong.of(MAX_BODY)), MAX_BODY);
      assertThat(budget.heldBytes()).isAtMost(BUDGET);
    }
  }

  @Test
  void bodyThatWaitsTooLongIsRefused() {
    BodyAdmission.Body running = open("running", OptionalLong.of(MAX_BODY));
    receive(running, MAX_BODY);
    running.complete(1);
    receive(open("waiting", OptionalLong.of(MAX_BODY)), MAX_BODY);
    clock.advance(BodyPolicy.DEFAULT.maxWait());
    admission.tick();
    assertThat(events).containsExactly("waiting WAIT");
    assertThat(admission.refusals(BodyRefusal.WAIT)).isEqualTo(1);
  }

  @Test
  void bodyResumedByTheRefusalOfAnotherIsNotRefused() {
    final long running = 7_706_784;
    BodyAdmission.Body kept = open("running", OptionalLong.of(running));
    receive(kept, running);
    kept.complete(1);
    // With 1.9 MB free, each body waits, and fits once the first 192 KiB of the other are free.
    BodyAdmission.Body first = open("first", OptionalLong.of(1_000_000));
    BodyAdmission.Body second = open("second", OptionalLong.of(1_000_000));
    assertThat(receive(first, 1_000_000)).isFalse();
    assertThat(receive(second, 1_000_000)).isFalse();
    clock.advance(BodyPolicy.DEFAULT.maxWait());
    onRefused = name -> admission.tick();
    admission.tick();
    assertThat(events).containsExactly("first WAIT", "second resumed").inOrder();
  }

  @Test
  void slowBodyIsRefusedWithoutPressure() {
    BodyAdmission.Body slow = open("slow", OptionalLong.of(20_000));
    slow.onBytes(10);
    clock.advance(BodyPolicy.DEFAULT.ratePeriod());
    admission.tick();
    assertThat(events).containsExactly("slow SLOW");
  }

  @Test
  void requestThatMayHaveRunIsNotRefusedForAnEndlessResponse() {
    BodyAdmission.Body body = open("running", OptionalLong.of(MAX_BODY));
    receive(body, MAX_BODY);
    body.complete(1);
    budget.open(() -> events.add("response discarded")).add(BUDGET);
    assertThat(events).containsExactly("response discarded");
  }
}
