package org.carobhoist.core.common;

/**
 * Version of a model's weights. Each publication increments the version of its model by one, so the
 * difference between two versions is the staleness in versions.
 *
 * @param number the version, from 0
 */
public record WeightVersion(long number) implements Comparable<WeightVersion> {

  /**
   * Validates the version.
   *
   * @throws IllegalArgumentException if the number is negative
   */
  public WeightVersion {
    if (number < 0) {
      throw new IllegalArgumentException("weight version is negative: " + number);
    }
  }

  /** Returns how many versions older than the given one this is; 0 if it isn't older. */
  public long versionsBehind(WeightVersion newer) {
    return Math.max(0, newer.number - number);
  }

  @Override
  public int compareTo(WeightVersion other) {
    return Long.compare(number, other.number);
  }

  @Override
  public String toString() {
    return Long.toString(number);
  }
}
