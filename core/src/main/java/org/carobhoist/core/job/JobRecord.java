package org.carobhoist.core.job;

/** A record in the store that belongs to a job. */
public sealed interface JobRecord {

  /** Returns the job that the record belongs to. */
  JobId job();

  /**
   * One part of an accepted job. All parts are appended together.
   *
   * @param head the properties fixed at acceptance
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
   * A result, which takes the next position in its job.
   *
   * @param job the job
   * @param result the result
   */
  record ResultPublished(JobId job, ItemResult result) implements JobRecord {}

  /**
   * The end of a job, requested by the submitter.
   *
   * @param job the job
   */
  record Ended(JobId job) implements JobRecord {}

  /**
   * The deletion of a job that is no longer kept.
   *
   * @param job the job
   */
  record Deleted(JobId job) implements JobRecord {}

  /**
   * The deletion of the key of a result or of the job's end. It has no effect, since {@link
   * Deleted} removes the whole job.
   *
   * @param job the job
   */
  record KeyDeleted(JobId job) implements JobRecord {}
}
