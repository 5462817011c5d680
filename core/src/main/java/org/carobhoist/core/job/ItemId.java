package org.carobhoist.core.job;

/**
 * Identity of an item of a job, chosen by its submitter; the same item may come again in a later
 * job.
 *
 * @param value the id; 1 to 100 printable ASCII characters without blanks and slashes
 */
public record ItemId(String value) implements Comparable<ItemId> {

  /**
   * Checks the id.
   *
   * @throws IllegalArgumentException if the value is not a well-formed id
   */
  public ItemId {
    PathIds.check("ItemId", value);
  }

  @Override
  public int compareTo(ItemId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
