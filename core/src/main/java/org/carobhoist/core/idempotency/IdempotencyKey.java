package org.carobhoist.core.idempotency;

import com.github.f4b6a3.uuid.alt.GUID;
import com.github.f4b6a3.uuid.util.UuidUtil;
import java.time.Instant;
import java.util.Random;
import java.util.UUID;

/**
 * Names one piece of work across resends. The id is a version 7 UUID (RFC 9562), so it tells when
 * it was made.
 *
 * @param id the UUID
 */
public record IdempotencyKey(UUID id) {

  private static final int VERSION_WITH_TIME = 7;

  /**
   * Checks the version.
   *
   * @throws IllegalArgumentException if the UUID has no creation time
   */
  public IdempotencyKey {
    if (id.version() != VERSION_WITH_TIME) {
      throw new IllegalArgumentException("the key is not a version 7 UUID: " + id);
    }
  }

  /** Makes a new key born at the given time. */
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

  /** Returns when the key was made, in milliseconds' resolution, by its maker's clock. */
  public Instant birth() {
    return UuidUtil.getInstant(id);
  }

  @Override
  public String toString() {
    return id.toString();
  }
}
