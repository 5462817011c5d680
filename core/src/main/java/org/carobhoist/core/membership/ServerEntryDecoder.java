package org.carobhoist.core.membership;

import org.carobhoist.core.store.StoredRecord;

/** Reads a server's entry from a record of the registry. */
@FunctionalInterface
public interface ServerEntryDecoder {

  /**
   * Returns the entry.
   *
   * @throws IllegalArgumentException if the record names no server that can be used; the message
   *     says why
   */
  ServerEntry decode(StoredRecord stored);
}
