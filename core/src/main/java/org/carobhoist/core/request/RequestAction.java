package org.carobhoist.core.request;

/** Actions of the state chart of a request; see {@code charts/request.ini}. */
public enum RequestAction {
  /** Select an endpoint. */
  CHOOSE,
  /** Pass the start message to the link. */
  SEND,
  /** Record that the attempt certainly did not run. */
  NOTE_NOT_RUN,
  /** Record that the attempt may have run. */
  NOTE_MAY_HAVE_RUN,
  /** Decide whether the request is retried. */
  DECIDE,
  /** Forward the head of the response to the caller. */
  PASS_HEAD,
  /** Complete the response to the caller. */
  FINISH,
  /** Refuse the request with the worst verdict over all of its attempts. */
  REFUSE,
  /** Abort a response that the caller has received in part. */
  ABORT,
  /** Tell the sidecar that the caller no longer waits for the attempt. */
  CANCEL_REMOTE,
  /** Record that the deadline has passed. */
  NOTE_DEADLINE,
  /** Record that the process stops. */
  NOTE_STOPPING,
  /** Record that the caller cancelled the request or disconnected. */
  NOTE_CANCELLED,
  /** Record that no endpoint was usable. */
  NOTE_NO_ENDPOINT
}
