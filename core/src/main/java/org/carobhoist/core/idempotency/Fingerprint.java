package org.carobhoist.core.idempotency;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Hash of what a request asks for, to tell a resend from another request under the same key.
 *
 * @param hex SHA-256 in lower-case hexadecimal digits
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
