package org.carobhoist.core.request;

/** Events of the state chart of a request; see {@code charts/request.ini}. */
public enum RequestEvent {
  /** The caller's request has arrived completely. */
  START,
  /** An endpoint was selected. */
  CHOSEN,
  /** No endpoint is usable. */
  NONE_LEFT,
  /** The complete start message has been handed to the operating system. */
  WRITTEN,
  /** The start message was not written completely, so no sidecar can act on it. */
  WRITE_FAILED,
  /** The sidecar reported that the request did not run. */
  NOT_RUN,
  /** The sidecar reported that the request may have run. */
  MAY_HAVE_RUN,
  /** The link broke. */
  LINK_LOST,
  /** The head of the response has arrived. */
  HEAD,
  /** The end of the response has arrived, and so have all frames before it. */
  END,
  /** The frames of the response are inconsistent, for example because one is missing. */
  BROKEN,
  /** Another attempt is permitted. */
  RETRY,
  /** No further attempt is permitted. */
  GIVE_UP,
  /** The caller's deadline has passed. */
  DEADLINE,
  /** The process stops and no longer waits for the response. */
  STOP,
  /** The caller cancelled the request or disconnected. */
  CANCEL
}
