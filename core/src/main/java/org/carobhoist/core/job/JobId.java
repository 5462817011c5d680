package org.carobhoist.core.job;

/**
 * Identifier of a batch job, chosen by the submitter.
 *
 * @param value the id; 1 to 100 printable ASCII characters other than space and slash
 */
public record JobId(String value) implements Comparable<JobId> {

  /**
   * Checks the id.
   *
   * @throws IllegalArgumentException if the value is not a well-formed id
   */
  public JobId {
    PathIds.check("JobId", value);
  }

  @Override
  public int compareTo(JobId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
