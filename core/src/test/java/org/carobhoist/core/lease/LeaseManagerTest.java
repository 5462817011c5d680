package org.carobhoist.core.lease;

import static com.google.common.truth.Truth.assertThat;

import org.carobhoist.core.testing.Schedules;
import org.junit.jupiter.api.Test;

/** Which process acquires a vacant lease, and how a slow holder hands it over. */
final class LeaseManagerTest {

  private static final int SCHEDULES = 200;

  @Test
  void processWithDelayAcquiresLeaseOnlyIfNoOtherDoes() {
    assertThat(Schedules.explore(1, SCHEDULES, LeaseSimulation::runFirstAcquisition)).isEmpty();
  }

  @Test
  void processThatIsNotPreparedDoesNotAcquireLease() {
    assertThat(Schedules.explore(1, SCHEDULES, LeaseSimulation::runPreparation)).isEmpty();
  }

  @Test
  void slowHolderHandsLeaseToHeirAndDoesNotReacquireItAtOnce() {
    assertThat(Schedules.explore(1, SCHEDULES, LeaseSimulation::runHandOver)).isEmpty();
  }

  /** Guards against a holder that keeps the lease and does nothing. */
  @Test
  void holderThatCannotStartItsDutiesReleasesTheLease() {
    assertThat(Schedules.explore(1, SCHEDULES, LeaseSimulation::runFailingHolder)).isEmpty();
  }

  /**
   * Guards against two holders after a cut that only looks like the end of the holder's process.
   */
  @Test
  void wrongSuspicionsLetNoTwoProcessesIssueOrders() {
    assertThat(Schedules.explore(1, SCHEDULES, LeaseSimulation::runWithSuspicions)).isEmpty();
  }

  @Test
  void suspectedHolderKeepsLeaseWhileItRenewsAndLosesItEarlyOnceKilled() {
    assertThat(Schedules.explore(1, SCHEDULES, LeaseSimulation::runSuspicion)).isEmpty();
  }
}
