package org.carobhoist.core.lease;

/** Encodes lease records as bytes and decodes them. */
public interface LeaseCodec {

  /** Encodes a record. */
  byte[] encode(LeaseEntry entry);

  /**
   * Decodes a record.
   *
   * @throws IllegalArgumentException if the bytes aren't a valid lease record
   */
  LeaseEntry decode(byte[] bytes);
}
