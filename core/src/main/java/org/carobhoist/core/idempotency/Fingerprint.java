package org.carobhoist.core.idempotency;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Hash of a request's method, path and content. Distinguishes a resend from a different request
 * that reuses the same key.
 *
 * @param hex SHA-256 digest in lower-case hexadecimal
 */
public record Fingerprint(String hex) {

  /** Returns the fingerprint of a request. */
  public static Fingerprint of(String method, String path, byte[] content) {
    MessageDigest digest = DigestUtils.getSha256Digest();
    String head = method + '\n' + path + '\n';
    digest.update(head.getBytes(StandardCharsets.UTF_8));
    return new Fingerprint(Hex.encodeHexString(digest.digest(content)));
  }
}
