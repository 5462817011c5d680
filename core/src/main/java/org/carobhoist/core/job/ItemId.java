package org.carobhoist.core.job;

/**
 * Identifier of a job item, chosen by the submitter. A later job may contain the same item again.
 *
 * @param value the id; 1 to 100 printable ASCII characters other than space and slash
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
