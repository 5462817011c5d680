package org.carobhoist.core.store;

import java.time.Duration;
import java.util.Optional;

/**
 * One reading of all newest records of a shard, whole or given up.
 *
 * @param pages pages read
 * @param records records on these pages
 * @param bytes bytes of their keys and values
 * @param took time from the first call to the last answer
 * @param failure why it was given up; empty if it was whole
 */
public record ShardWalk(
    int pages, int records, long bytes, Duration took, Optional<Throwable> failure) {}
