package org.carobhoist.core.store;

/** Whether a record should be appended, judging by the part of the shard that has been read. */
public enum AppendTiming {
  /** Append it now. */
  NOW,
  /** Append it after another record has been read. */
  LATER,
  /** Don't append it: it exists already or is no longer needed. */
  NEVER
}
