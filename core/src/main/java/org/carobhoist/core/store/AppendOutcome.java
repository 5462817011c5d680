package org.carobhoist.core.store;

/** What the store says of an append. */
public sealed interface AppendOutcome {

  /**
   * The records are in the store.
   *
   * @param offset offset of the first one
   */
  record Appended(long offset) implements AppendOutcome {}

  /**
   * Nothing was appended, since the shard ends elsewhere than the condition says.
   *
   * @param end the offset after the last record
   */
  record Conflict(long end) implements AppendOutcome {}
}
