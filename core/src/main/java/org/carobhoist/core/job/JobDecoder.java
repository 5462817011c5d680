package org.carobhoist.core.job;

/** Reads a job from the bytes that were submitted. */
@FunctionalInterface
public interface JobDecoder {

  /**
   * Returns the job's content.
   *
   * @throws IllegalArgumentException if the bytes are no job; the message says why
   */
  JobContent decode(byte[] submitted);
}
