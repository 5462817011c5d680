package org.carobhoist.core.job;

/**
 * Where the store holds what a page of results says of an item.
 *
 * @param key the record's key, which no other record has
 * @param part the partition
 * @param offset the record's offset; the record may be found only by its key once it has aged
 * @param length bytes of the entry
 */
public record EntryPlace(String key, int part, long offset, int length) {}
