package org.carobhoist.core.common;

/**
 * Identity of a trainer.
 *
 * @param value the id; 1 to 128 letters, digits, dots, colons, slashes, underscores or hyphens
 */
public record TrainerId(String value) implements Comparable<TrainerId> {

  /**
   * Validates the id.
   *
   * @throws IllegalArgumentException if the value is not a well-formed id
   */
  public TrainerId {
    Ids.check("TrainerId", value);
  }

  @Override
  public int compareTo(TrainerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
