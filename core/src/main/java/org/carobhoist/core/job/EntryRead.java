package org.carobhoist.core.job;

import java.time.Duration;
import java.util.Optional;
import org.carobhoist.core.store.Shard;

/**
 * Statistics of one read of entries from the store, for entries that weren't cached.
 *
 * @param shard the shard that holds the entries
 * @param wanted number of entries requested
 * @param reads number of reads by offset
 * @param pages number of pages read by key, after the store had dropped the records by offset
 * @param bytes bytes of keys and values in the responses
 * @param took time from the first call to the last response
 * @param failure why some entries weren't read; empty if all were
 */
public record EntryRead(
    Shard shard,
    int wanted,
    int reads,
    int pages,
    long bytes,
    Duration took,
    Optional<Throwable> failure) {}
