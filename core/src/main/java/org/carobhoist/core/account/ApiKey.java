package org.carobhoist.core.account;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * An API key. Only its SHA-256 digest is kept, so that no log line, exception or state dump can
 * contain the key, and the time of a comparison doesn't reveal how much of a key matches.
 */
public final class ApiKey {

  private static final int FINGERPRINT_DIGITS = 8;

  private final byte[] digest;

  private ApiKey(byte[] digest) {
    this.digest = digest;
  }

  /**
   * Returns the key with the given text.
   *
   * @throws IllegalArgumentException if the text is empty
   */
  public static ApiKey ofText(String text) {
    return ofBytes(text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns the key with the given bytes, as received in a request.
   *
   * @throws IllegalArgumentException if there are no bytes
   */
  public static ApiKey ofBytes(byte[] bytes) {
    if (bytes.length == 0) {
      throw new IllegalArgumentException("API key is empty");
    }
    return new ApiKey(DigestUtils.sha256(bytes));
  }

  /** Returns the first 8 hexadecimal digits of the SHA-256 digest, which may be logged. */
  public String fingerprint() {
    return Hex.encodeHexString(digest).substring(0, FINGERPRINT_DIGITS);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ApiKey key && MessageDigest.isEqual(digest, key.digest);
  }

  @Override
  public int hashCode() {
    return ByteBuffer.wrap(digest).getInt();
  }

  /** Returns the fingerprint. */
  @Override
  public String toString() {
    return fingerprint();
  }
}
