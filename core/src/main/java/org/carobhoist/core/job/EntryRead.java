package org.carobhoist.core.job;

import java.time.Duration;
import java.util.Optional;
import org.carobhoist.core.store.Shard;

/**
 * One reading of entries that weren't kept.
 *
 * @param shard where they lie
 * @param wanted how many were wanted
 * @param reads calls by offset
 * @param pages calls by key, after the store has dropped the records by offset
 * @param bytes bytes of keys and values in their answers
 * @param took time from the first call to the last answer
 * @param failure why not all of them were read; empty if they were
 */
public record EntryRead(
    Shard shard,
    int wanted,
    int reads,
    int pages,
    long bytes,
    Duration took,
    Optional<Throwable> failure) {}
