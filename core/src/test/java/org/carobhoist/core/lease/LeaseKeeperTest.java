package org.carobhoist.core.lease;

import static com.google.common.truth.Truth.assertThat;

import org.carobhoist.core.testing.Schedules;
import org.junit.jupiter.api.Test;

/** Which process acquires a vacant lease, and how a slow holder hands it over. */
final class LeaseKeeperTest {

  private static final int SCHEDULES = 200;

  @Test
  void processWithLessToWorkWithTakesTheLeaseOnlyIfNobodyElseDoes() {
    assertThat(Schedules.explore(1, SCHEDULES, LeaseWorld::runFirstTake)).isEmpty();
  }

  @Test
  void processThatHasNotReadTheJobsDoesNotCoordinate() {
    assertThat(Schedules.explore(1, SCHEDULES, LeaseWorld::runPreparation)).isEmpty();
  }

  @Test
  void slowHolderLeavesTheLeaseToItsHeirAndDoesNotTakeItBackAtOnce() {
    assertThat(Schedules.explore(1, SCHEDULES, LeaseWorld::runHandOver)).isEmpty();
  }
}
