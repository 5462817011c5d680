package org.carobhoist.core.profile;

import java.util.List;

/**
 * What a read of the log returned.
 *
 * @param from the offset asked for
 * @param first first offset that the log still keeps
 * @param next offset that the next append will get
 * @param items records from that offset on, in order; may stop before {@code next}
 */
public record LogRead(long from, long first, long next, List<LogItem> items) {}
