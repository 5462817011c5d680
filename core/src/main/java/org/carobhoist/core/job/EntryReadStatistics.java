package org.carobhoist.core.job;

import java.time.Duration;
import java.util.Optional;
import org.carobhoist.core.store.Shard;

/**
 * Statistics of one read of entries from the store, for entries that weren't cached.
 *
 * @param shard the shard that holds the entries
 * @param requested number of entries requested
 * @param offsetReads number of reads by offset
 * @param keyPages number of pages read by key, after the store had dropped the records by offset
 * @param bytes bytes of keys and values in the responses
 * @param duration time from the first call to the last response
 * @param failure why some entries weren't read; empty if all were
 */
public record EntryReadStatistics(
    Shard shard,
    int requested,
    int offsetReads,
    int keyPages,
    long bytes,
    Duration duration,
    Optional<Throwable> failure) {}
