package org.carobhoist.core.store;

import java.time.Duration;
import java.util.Optional;

/**
 * Statistics of a scan over the newest records of a shard, complete or failed.
 *
 * @param pages number of pages read
 * @param records number of records on these pages
 * @param bytes size of their keys and values in bytes
 * @param took time from the first call to the last response
 * @param failure why the scan failed; empty if it is complete
 */
public record ShardScan(
    int pages, int records, long bytes, Duration took, Optional<Throwable> failure) {}
