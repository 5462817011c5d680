package org.carobhoist.core.profile;

/**
 * A record with its position in the log.
 *
 * @param offset its offset, from 1
 * @param timeMillis when it was appended, in epoch milliseconds by the platform's clock
 * @param body the record
 */
public record LogItem(long offset, long timeMillis, ConfigRecord body) {}
