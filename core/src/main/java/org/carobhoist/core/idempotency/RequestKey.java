package org.carobhoist.core.idempotency;

import java.time.Instant;
import java.util.Optional;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;

/**
 * Key of a non-idempotent request. A server-issued key names the only incarnation of a sidecar that
 * may run the request and is written {@code INSTANCE~INCARNATION~UUID}. A caller-generated key is
 * the UUID alone; its home is selected by hashing.
 *
 * @param issuer the only incarnation that may run the request; empty for a caller-generated key
 * @param id the UUID, which contains the creation time
 */
public record RequestKey(Optional<HomeMember> issuer, IdempotencyKey id) {

  private static final String SEPARATOR = "~";
  private static final int ISSUED_PARTS = 3;

  /** Returns a server-issued key, which only the given incarnation of a sidecar may run. */
  public static RequestKey issued(HomeMember issuer, IdempotencyKey id) {
    return new RequestKey(Optional.of(issuer), id);
  }

  /** Returns a caller-generated key. */
  public static RequestKey ofCaller(IdempotencyKey id) {
    return new RequestKey(Optional.empty(), id);
  }

  /**
   * Parses either kind of key; the text may be enclosed in one pair of double quotes.
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

  /** Returns whether this is a server-issued key. */
  public boolean isIssued() {
    return issuer.isPresent();
  }

  /** Returns the creation time by the clock of the key's creator. */
  public Instant creationTime() {
    return id.creationTime();
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
