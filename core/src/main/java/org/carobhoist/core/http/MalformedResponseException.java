package org.carobhoist.core.http;

import java.io.IOException;

/** Thrown when the bytes of a response don't conform to RFC 9110 and RFC 9112. */
public final class MalformedResponseException extends IOException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message which part of the response is malformed, and how
   */
  MalformedResponseException(String message) {
    super(message);
  }
}
