package org.carobhoist.core.job;

import java.util.regex.Pattern;

/**
 * Identity of a batch job, chosen by its submitter.
 *
 * @param value the id; 1 to 100 printable ASCII characters without blanks and slashes
 */
public record JobId(String value) implements Comparable<JobId> {

  private static final Pattern WELL_FORMED = Pattern.compile("[!-.0-~]{1,100}");

  /**
   * Checks the id.
   *
   * @throws IllegalArgumentException if the value is not a well-formed id
   */
  public JobId {
    if (value == null || !WELL_FORMED.matcher(value).matches()) {
      throw new IllegalArgumentException("JobId is malformed: " + value);
    }
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
