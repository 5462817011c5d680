package org.carobhoist.core.request;

/** Events of a request at an entry; see {@code charts/request.ini}. */
public enum RequestEvent {
  /** The caller's request has arrived whole. */
  START,
  /** An endpoint was found. */
  CHOSEN,
  /** No endpoint is usable. */
  NONE_LEFT,
  /** The start message has been handed to the operating system whole. */
  WRITTEN,
  /** The start message was not handed over whole, so that no sidecar can act on it. */
  WRITE_FAILED,
  /** The sidecar answers that the request did not run. */
  NOT_RUN,
  /** The sidecar answers that the request may have run. */
  MAY_HAVE_RUN,
  /** The link broke. */
  LINK_LOST,
  /** The head of the answer arrives. */
  HEAD,
  /** The answer's end mark arrives, and every frame before it has. */
  END,
  /** The answer's frames don't fit together. */
  BROKEN,
  /** The retry policy allows another attempt. */
  RETRY,
  /** The retry policy allows no other attempt. */
  GIVE_UP,
  /** The caller's deadline has passed. */
  DEADLINE,
  /** The caller has gone away. */
  CANCEL
}
