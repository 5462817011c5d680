package org.carobhoist.core.request;

/** States of the state chart of a request; see {@code charts/request.ini}. */
public enum RequestState {
  /** Not started. */
  NEW,
  /** An endpoint is being selected. */
  CHOOSING,
  /** The start message has been passed to the link but is not known to be written. */
  SENDING,
  /** The start message has been written; no response has arrived. */
  WAITING,
  /** An attempt failed; the decision whether to retry is pending. */
  DECIDING,
  /** The head of the response has been forwarded to the caller. */
  STREAMING,
  /** The whole response has been forwarded to the caller. */
  COMPLETED,
  /** The request was refused, or its response was aborted. */
  REFUSED
}
