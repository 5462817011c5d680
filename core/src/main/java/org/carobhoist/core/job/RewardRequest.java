package org.carobhoist.core.job;

import org.carobhoist.core.common.RequestId;

/**
 * The request whose answer scores an item's text.
 *
 * @param id request id that is sent to the reward server; unique within the job
 * @param host the host name whose routes apply to the request, without a port
 * @param path path of the request; begins with a slash
 * @param body body of the request
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

  /** Returns whether a score returned for the other request is valid for this one. */
  public boolean isSameAs(RewardRequest other) {
    return id.equals(other.id) && host.equals(other.host) && path.equals(other.path);
  }
}
