package org.carobhoist.core.job;

import org.carobhoist.core.common.RequestId;

/**
 * The request whose answer scores an item's text.
 *
 * @param id its id, which the server is asked under; unique in its job
 * @param host the host whose routes it goes by, without a port
 * @param path its path, which begins with a slash
 * @param body its body
 */
public record RewardRequest(RequestId id, String host, String path, byte[] body) {

  /**
   * Checks host and path.
   *
   * @throws IllegalArgumentException if the host is empty or the path doesn't begin with a slash
   */
  public RewardRequest {
    if (host.isEmpty()) {
      throw new IllegalArgumentException("host of the scorer is empty");
    }
    if (!path.startsWith("/")) {
      throw new IllegalArgumentException("path of the scorer begins with no slash: " + path);
    }
  }

  /** Returns whether a score got for the other request is one for this request. */
  public boolean isSameAs(RewardRequest other) {
    return id.equals(other.id) && host.equals(other.host) && path.equals(other.path);
  }
}
