package org.carobhoist.core.idempotency;

import com.github.f4b6a3.uuid.alt.GUID;
import com.github.f4b6a3.uuid.util.UuidUtil;
import java.time.Instant;
import java.util.Random;
import java.util.UUID;

/**
 * Identifies one request across resends. The id is a version 7 UUID (RFC 9562), which contains its
 * creation time.
 *
 * @param id the UUID
 */
public record IdempotencyKey(UUID id) {

  private static final int VERSION_WITH_TIME = 7;

  /**
   * Validates the UUID version.
   *
   * @throws IllegalArgumentException if the UUID has no creation time
   */
  public IdempotencyKey {
    if (id.version() != VERSION_WITH_TIME) {
      throw new IllegalArgumentException("the key is not a version 7 UUID: " + id);
    }
  }

  /** Generates a key with the given creation time. */
  public static IdempotencyKey mint(Instant now, Random random) {
    return new IdempotencyKey(GUID.v7(now, random).toUUID());
  }

  /**
   * Parses the text form.
   *
   * @throws IllegalArgumentException if the text isn't a version 7 UUID
   */
  public static IdempotencyKey parse(String text) {
    return new IdempotencyKey(UUID.fromString(text));
  }

  /** Returns the creation time by the clock of the key's creator, with millisecond resolution. */
  public Instant creationTime() {
    return UuidUtil.getInstant(id);
  }

  @Override
  public String toString() {
    return id.toString();
  }
}
