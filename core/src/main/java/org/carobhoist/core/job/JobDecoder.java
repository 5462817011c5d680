package org.carobhoist.core.job;

/** Decodes the submitted bytes of a job. */
@FunctionalInterface
public interface JobDecoder {

  /**
   * Returns the job's content.
   *
   * @throws IllegalArgumentException if the bytes aren't a valid job; the message names the reason
   */
  JobContent decode(byte[] submitted);
}
