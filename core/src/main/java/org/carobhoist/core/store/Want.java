package org.carobhoist.core.store;

/** Whether a record is still to be appended, as far as its shard has been read. */
public enum Want {
  /** It is. */
  NOW,
  /** It will be once another record has come. */
  LATER,
  /** It is there already, or nothing asks for it any more. */
  NEVER
}
