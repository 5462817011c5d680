package org.carobhoist.core.lease;

/** Turns lease records into bytes and back. */
public interface LeaseCodec {

  /** Returns the bytes of a record. */
  byte[] encode(LeaseEntry entry);

  /**
   * Returns the record of the given bytes.
   *
   * @throws IllegalArgumentException if the bytes are no lease record
   */
  LeaseEntry decode(byte[] bytes);
}
