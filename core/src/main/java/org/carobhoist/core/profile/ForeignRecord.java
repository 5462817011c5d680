package org.carobhoist.core.profile;

import java.nio.ByteBuffer;

/**
 * A record of another part of the system, such as a weight order. Only the newest one of each key
 * matters, so snapshots keep just that.
 *
 * @param key what the record is about
 * @param data its bytes, read-only
 */
public record ForeignRecord(String key, ByteBuffer data) implements ConfigRecord {}
