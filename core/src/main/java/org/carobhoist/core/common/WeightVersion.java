package org.carobhoist.core.common;

/**
 * Version of a model's weights. Versions of one model grow by one with each publication, so that
 * the difference of two versions is the staleness in versions.
 *
 * @param number the version, from 0
 */
public record WeightVersion(long number) implements Comparable<WeightVersion> {

  /**
   * Checks the version.
   *
   * @throws IllegalArgumentException if the number is negative
   */
  public WeightVersion {
    if (number < 0) {
      throw new IllegalArgumentException("weight version is negative: " + number);
    }
  }

  /** Returns by how many versions this one lies behind the given one; never negative. */
  public long behind(WeightVersion newer) {
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
