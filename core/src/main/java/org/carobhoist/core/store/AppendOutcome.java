package org.carobhoist.core.store;

/** Result of an append. */
public sealed interface AppendOutcome {

  /**
   * The records were appended.
   *
   * @param offset offset of the first record
   */
  record Appended(long offset) implements AppendOutcome {}

  /**
   * Nothing was appended, because the end of the shard is not the expected offset.
   *
   * @param end the offset after the shard's last record
   */
  record Conflict(long end) implements AppendOutcome {}
}
