package org.carobhoist.core.request;

/** States of a request at an entry; see {@code charts/request.ini}. */
public enum RequestState {
  /** Not started. */
  NEW,
  /** An endpoint is being chosen. */
  CHOOSING,
  /** The start message is handed to the link but not known to be written. */
  SENDING,
  /** The start message is written; no answer yet. */
  WAITING,
  /** An attempt failed; whether to retry is being decided. */
  DECIDING,
  /** The head of the answer has gone to the caller. */
  STREAMING,
  /** The whole answer has gone to the caller. */
  COMPLETED,
  /** The caller has been told why there is no answer. */
  REFUSED
}
