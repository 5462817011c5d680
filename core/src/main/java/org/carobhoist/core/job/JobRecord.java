package org.carobhoist.core.job;

/** A record of a job in the store. */
public sealed interface JobRecord {

  /** Returns the job that the record belongs to. */
  JobId job();

  /**
   * One part of an accepted job; all parts are appended together.
   *
   * @param head what is fixed of the job
   * @param chunk number of the part, from 0
   * @param chunks number of parts
   * @param content this part of the submitted bytes
   */
  record Accepted(JobHead head, int chunk, int chunks, byte[] content) implements JobRecord {
    @Override
    public JobId job() {
      return head.id();
    }
  }

  /**
   * A result takes the next position of its job.
   *
   * @param job the job
   * @param result the result
   */
  record Listed(JobId job, ItemResult result) implements JobRecord {}

  /**
   * The submitter has ended the job.
   *
   * @param job the job
   */
  record Ended(JobId job) implements JobRecord {}

  /**
   * The job's time is past.
   *
   * @param job the job
   */
  record Forgotten(JobId job) implements JobRecord {}

  /**
   * A key of the job was dropped that says nothing by itself.
   *
   * @param job the job
   */
  record Dropped(JobId job) implements JobRecord {}
}
