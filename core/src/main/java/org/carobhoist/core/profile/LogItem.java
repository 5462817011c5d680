package org.carobhoist.core.profile;

/**
 * A record with its place in the log.
 *
 * @param offset its offset, from 1
 * @param timeMillis when it was appended, by the platform's clock, in milliseconds since 1970
 * @param body the record
 */
public record LogItem(long offset, long timeMillis, ConfigRecord body) {}
