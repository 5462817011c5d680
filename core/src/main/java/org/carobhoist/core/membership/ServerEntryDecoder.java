package org.carobhoist.core.membership;

import org.carobhoist.core.store.StoredRecord;

/** Decodes server entries from records of the registry. */
@FunctionalInterface
public interface ServerEntryDecoder {

  /**
   * Decodes a record.
   *
   * @throws IllegalArgumentException if the record doesn't describe a usable server; the message
   *     gives the reason
   */
  ServerEntry decode(StoredRecord stored);
}
