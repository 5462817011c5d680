package org.carobhoist.core.idempotency;

import java.time.Instant;
import java.util.Optional;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;

/**
 * Key of a non-idempotent request, of one of two kinds. An issued key names the run of the sidecar
 * that alone may run it, written {@code INSTANCE~INCARNATION~UUID}. A caller's key is the UUID
 * alone; its home is found by hashing.
 *
 * @param issuer the only run that may execute the request, for an issued key
 * @param id the UUID with its creation time
 */
public record RequestKey(Optional<HomeMember> issuer, IdempotencyKey id) {

  private static final String SEPARATOR = "~";
  private static final int ISSUED_PARTS = 3;

  /** Returns a key that only the given run of a sidecar may execute. */
  public static RequestKey issued(HomeMember issuer, IdempotencyKey id) {
    return new RequestKey(Optional.of(issuer), id);
  }

  /** Returns a caller's key. */
  public static RequestKey ofCaller(IdempotencyKey id) {
    return new RequestKey(Optional.empty(), id);
  }

  /**
   * Parses the text form of either kind; one pair of quotes around it is allowed.
   *
   * @throws IllegalArgumentException if the text is neither
   */
  public static RequestKey parse(String text) {
    String bare = unquoted(text.trim());
    String[] parts = bare.split(SEPARATOR, -1);
    if (parts.length != ISSUED_PARTS) {
      return ofCaller(IdempotencyKey.parse(bare));
    }
    HomeMember issuer = new HomeMember(new InstanceId(parts[0]), new Incarnation(parts[1]));
    return issued(issuer, IdempotencyKey.parse(parts[2]));
  }

  /** Returns whether the key names its issuer. */
  public boolean isIssued() {
    return issuer.isPresent();
  }

  /** Returns when the key was made, by its maker's clock. */
  public Instant birth() {
    return id.birth();
  }

  @Override
  public String toString() {
    return issuer.map(RequestKey::prefix).orElse("") + id;
  }

  private static String prefix(HomeMember issuer) {
    return issuer.instance() + SEPARATOR + issuer.incarnation() + SEPARATOR;
  }

  private static String unquoted(String text) {
    boolean quoted = text.length() >= 2 && text.startsWith("\"") && text.endsWith("\"");
    return quoted ? text.substring(1, text.length() - 1) : text;
  }
}
