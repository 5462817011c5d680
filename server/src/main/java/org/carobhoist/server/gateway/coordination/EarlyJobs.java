package org.carobhoist.server.gateway.coordination;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.carobhoist.core.common.Scheduler;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.limit.BufferBudget;
import org.carobhoist.core.placement.JobCoordinator;

/**
 * Counts the jobs that the coordinator runs before the store has them, since while the store is
 * unreachable every process may send it some. A job that doesn't fit runs once it is stored.
 */
final class EarlyJobs {

  /** A job is held as its content, the text parsed from it, its items and their state. */
  private static final int FACTOR = 4;

  private final BufferBudget budget;
  private final Scheduler scheduler;
  private final Map<JobId, BufferBudget.Buffer> buffers = new HashMap<>();

  /**
   * Creates a count of zero.
   *
   * @param budget budget of the process; early jobs use at most half of it
   */
  EarlyJobs(BufferBudget budget, Scheduler scheduler) {
    this.budget = budget;
    this.scheduler = scheduler;
  }

  /**
   * Counts a job until it is stored, or dropped because it wasn't stored in time.
   *
   * @param contentBytes size of the job as submitted
   * @return whether the job may run; false if its memory isn't free
   */
  boolean admit(JobId job, int contentBytes) {
    if (buffers.containsKey(job)) {
      return true;
    }
    long bytes = (long) FACTOR * contentBytes;
    if (bytes > budget.freeBytes() || heldBytes() + bytes > budget.limitBytes() / 2) {
      return false;
    }
    BufferBudget.Buffer buffer = budget.open(() -> {});
    buffer.keep();
    buffer.add(bytes);
    buffers.put(job, buffer);
    Duration timeout = JobCoordinator.PROVISIONAL_TIMEOUT;
    scheduler.after(timeout, () -> release(job, buffer));
    return true;
  }

  /** Releases the memory of a job that is stored or has ended. */
  void release(JobId job) {
    BufferBudget.Buffer buffer = buffers.get(job);
    if (buffer != null) {
      release(job, buffer);
    }
  }

  private void release(JobId job, BufferBudget.Buffer buffer) {
    buffers.remove(job, buffer);
    buffer.close();
  }

  private long heldBytes() {
    return buffers.values().stream().mapToLong(BufferBudget.Buffer::sizeBytes).sum();
  }
}
