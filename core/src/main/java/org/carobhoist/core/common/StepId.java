package org.carobhoist.core.common;

/**
 * Identity of a training step, unique within its trainer.
 *
 * @param value the id; 1 to 128 letters, digits, dots, colons, slashes, underscores or hyphens
 */
public record StepId(String value) implements Comparable<StepId> {

  /**
   * Validates the id.
   *
   * @throws IllegalArgumentException if the value is not a well-formed id
   */
  public StepId {
    Ids.check("StepId", value);
  }

  @Override
  public int compareTo(StepId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
