package org.carobhoist.core.profile;

/**
 * A record that is torn, oversized or of an unknown kind. Every process skips it.
 *
 * @param reason why the record can't be read
 */
public record UnreadableRecord(String reason) implements ConfigRecord {}
