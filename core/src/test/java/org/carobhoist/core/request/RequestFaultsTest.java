package org.carobhoist.core.request;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.StringReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.LongPredicate;
import java.util.function.Supplier;
import org.carobhoist.core.chart.ChartReader;
import org.carobhoist.core.chart.StateChart;
import org.carobhoist.core.idempotency.GateRules;
import org.carobhoist.core.testing.FaultMatrix;
import org.carobhoist.core.testing.Schedules;
import org.junit.jupiter.api.Test;

/**
 * Simulates requests under every fault at every step, alone and in pairs, and under random fault
 * schedules. Further tests break one rule on purpose and check that the simulation detects it.
 */
final class RequestFaultsTest {

  private static final long FIRST_SEED = 1;
  private static final int SCHEDULES = 4_000;
  private static final int MAX_FAULTS = 5;
  private static final int FAULT_WINDOW_MILLIS = 60_000;
  private static final Duration SKEW_RANGE = Duration.ofSeconds(1);

  @Test
  void holdsUnderEveryFaultAndPairOfFaults() throws IOException {
    FaultMatrix<RequestState, InjectedFault> matrix =
        FaultMatrix.of("request", RequestState.class, InjectedFault.class);
    assertThat(matrix.run(cell -> runCell(SimulationRules.sound(), cell))).isEmpty();
    int injections = RequestState.values().length * InjectedFault.values().length;
    assertThat(matrix.cellCount()).isEqualTo(injections + injections * (injections + 1) / 2);
  }

  @Test
  void holdsUnderRandomFaultSchedules() {
    assertThat(Schedules.explore(FIRST_SEED, SCHEDULES, r -> explore(SimulationRules.sound(), r)))
        .isEqualTo(Optional.empty());
  }

  @Test
  void detectsSkippedLeaseCheck() {
    assertDetected(rulesWithGate(GateRules.sound().withLease(check -> () -> true)));
  }

  @Test
  void detectsTenureWithoutFloor() {
    assertDetected(rulesWithGate(GateRules.sound().withTenureFloor(start -> Instant.MIN)));
  }

  @Test
  void detectsTableThatEvictsWithoutRaisingFloor() {
    assertDetected(rulesWithGate(GateRules.sound().withTableFloor((floor, evicted) -> floor)));
  }

  @Test
  void detectsRetryOfRequestThatMayHaveRun() {
    RetryRule always = (worst, idempotent) -> true;
    assertDetected(SimulationRules.sound().with(always));
  }

  @Test
  void detectsNotRunVerdictAfterLostLink() {
    assertDetected(
        rulesWithChart(
            "LINK_LOST = DECIDING NOTE_MAY_HAVE_RUN DECIDE",
            "LINK_LOST = DECIDING NOTE_NOT_RUN DECIDE"));
  }

  @Test
  void detectsIgnoredDeadline() {
    assertDetected(
        rulesWithChart(
            "DEADLINE = REFUSED NOTE_MAY_HAVE_RUN NOTE_DEADLINE CANCEL_REMOTE REFUSE",
            "DEADLINE = -"));
  }

  @Test
  void detectsNotRunVerdictAfterDeadline() {
    assertDetected(
        rulesWithChart(
            "DEADLINE = REFUSED NOTE_MAY_HAVE_RUN NOTE_DEADLINE CANCEL_REMOTE REFUSE",
            "DEADLINE = REFUSED NOTE_DEADLINE CANCEL_REMOTE REFUSE"));
  }

  @Test
  void detectsTruncatedResponseAcceptedAsComplete() {
    assertDetected(
        rulesWithChart(
            "BROKEN = REFUSED NOTE_MAY_HAVE_RUN CANCEL_REMOTE ABORT", "BROKEN = COMPLETED FINISH"));
  }

  @Test
  void detectsRetryAfterResponseHead() {
    assertDetected(
        rulesWithChart(
            "LINK_LOST = REFUSED NOTE_MAY_HAVE_RUN ABORT",
            "LINK_LOST = DECIDING NOTE_MAY_HAVE_RUN DECIDE"));
  }

  @Test
  void detectsDuplicateStartThatRuns() {
    Supplier<LongPredicate> always = () -> id -> true;
    assertDetected(SimulationRules.sound().with(always));
  }

  private static void assertDetected(SimulationRules rules) {
    FaultMatrix<RequestState, InjectedFault> matrix =
        FaultMatrix.of("request-mutant", RequestState.class, InjectedFault.class);
    assertThat(matrix.findBroken(cell -> runCell(rules, cell)).isPresent()).isTrue();
  }

  private static SimulationRules rulesWithGate(GateRules gate) {
    return SimulationRules.sound().with(gate);
  }

  /** Returns the rules with some cells of the request's state chart replaced. */
  private static SimulationRules rulesWithChart(String cell, String replacement) {
    try (InputStream in = RequestStateMachine.class.getResourceAsStream("/charts/request.ini")) {
      String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      assertThat(text).contains(cell);
      StateChart<RequestState, RequestEvent, RequestAction> mutant =
          ChartReader.read(
              "mutant",
              new StringReader(text.replace(cell, replacement)),
              RequestState.class,
              RequestEvent.class,
              RequestAction.class);
      return SimulationRules.sound().with(mutant);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static Optional<String> runCell(
      SimulationRules rules, List<FaultMatrix.Injection<RequestState, InjectedFault>> cell) {
    for (LogicalRequest.Kind kind : LogicalRequest.Kind.values()) {
      Optional<String> fault = new RequestSimulation(rules, kind, 1, cell).run(Duration.ZERO);
      if (fault.isPresent()) {
        return fault.map(f -> kind + ": " + f);
      }
    }
    return Optional.empty();
  }

  private static Optional<String> explore(SimulationRules rules, SplittableRandom random) {
    LogicalRequest.Kind[] kinds = LogicalRequest.Kind.values();
    InjectedFault[] faults = InjectedFault.values();
    LogicalRequest.Kind kind = kinds[random.nextInt(kinds.length)];
    RequestSimulation simulation = new RequestSimulation(rules, kind, random.nextLong(), List.of());
    int count = 1 + random.nextInt(MAX_FAULTS);
    for (int i = 0; i < count; i++) {
      Duration at = Duration.ofMillis(random.nextInt(FAULT_WINDOW_MILLIS));
      simulation.faultAt(at, faults[random.nextInt(faults.length)]);
    }
    return simulation.run(SKEW_RANGE).map(f -> kind + ": " + f);
  }
}
