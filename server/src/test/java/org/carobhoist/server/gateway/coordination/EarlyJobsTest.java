package org.carobhoist.server.gateway.coordination;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.limit.BufferBudget;
import org.junit.jupiter.api.Test;

/** Guards against a coordinator that runs out of memory because all processes send it jobs. */
final class EarlyJobsTest {

  private static final int JOB_BYTES = 1_000;

  private final BufferBudget budget = BufferBudget.create(20_000);
  private final List<Runnable> timeouts = new ArrayList<>();
  private final EarlyJobs jobs = new EarlyJobs(budget, this::schedule);

  private Runnable schedule(Duration delay, Runnable task) {
    timeouts.add(task);
    return () -> {};
  }

  private boolean admit(String job) {
    return jobs.admit(new JobId(job), JOB_BYTES);
  }

  @Test
  void jobsUseAtMostHalfOfTheBudget() {
    assertThat(admit("j1")).isTrue();
    assertThat(admit("j2")).isTrue();
    assertThat(admit("j3")).isFalse();
    assertThat(budget.heldBytes()).isEqualTo(8_000);
  }

  @Test
  void jobsAreRefusedWhileOtherBuffersFillTheBudget() {
    BufferBudget.Buffer buffer = budget.open(() -> {});
    buffer.add(17_000);
    assertThat(admit("j1")).isFalse();
    buffer.close();
    assertThat(admit("j1")).isTrue();
  }

  @Test
  void jobThatSeveralProcessesSendCountsOnce() {
    assertThat(admit("j1")).isTrue();
    assertThat(admit("j1")).isTrue();
    assertThat(budget.heldBytes()).isEqualTo(4_000);
  }

  @Test
  void jobsAreReleasedWhenStoredOrDropped() {
    admit("j1");
    jobs.release(new JobId("j1"));
    jobs.release(new JobId("unknown"));
    assertThat(budget.heldBytes()).isEqualTo(0);
    admit("j1");
    // The timeout of the first time the job was counted doesn't release the second.
    timeouts.get(0).run();
    assertThat(budget.heldBytes()).isEqualTo(4_000);
    timeouts.get(1).run();
    assertThat(budget.heldBytes()).isEqualTo(0);
  }
}
