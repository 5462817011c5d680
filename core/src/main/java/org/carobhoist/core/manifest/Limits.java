package org.carobhoist.core.manifest;

import java.time.Duration;

/**
 * Size limits and timeouts for client requests.
 *
 * @param headerBytes maximum size of a request's head in bytes
 * @param bodyBytes maximum size of a request's body in bytes
 * @param headerTimeout maximum time for receiving a request's head
 * @param idleTimeout maximum time that a connection may stay idle
 */
public record Limits(
    int headerBytes, long bodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /** Largest head of a request in bytes that a gateway can receive, whatever a manifest allows. */
  public static final int MAX_HEADER_BYTES = 65_536;
}
