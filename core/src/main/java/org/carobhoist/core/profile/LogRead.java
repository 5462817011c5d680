package org.carobhoist.core.profile;

import java.util.List;

/**
 * Response to a read of the log.
 *
 * @param from the requested offset
 * @param first first offset that the log still retains
 * @param next offset that the next appended record will get
 * @param items records from {@code from} on, in order; may end before {@code next}
 */
public record LogRead(long from, long first, long next, List<LogItem> items) {}
