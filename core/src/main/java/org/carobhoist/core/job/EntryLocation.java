package org.carobhoist.core.job;

/**
 * Location in the store of an item's entry, that is, its bytes in a page of results.
 *
 * @param key the record's key, which is unique
 * @param part number of the shard
 * @param offset the record's offset; after the store has dropped old records from its history, the
 *     record can be found only by its key
 * @param length length of the entry in bytes
 */
public record EntryLocation(String key, int part, long offset, int length) {}
