package org.carobhoist.core.request;

/** Actions of a request at an entry; see {@code charts/request.ini}. */
public enum RequestAction {
  /** Choose an endpoint. */
  CHOOSE,
  /** Hand the start message to the link. */
  SEND,
  /** Note that the attempt certainly did not run. */
  NOTE_NOT_RUN,
  /** Note that the attempt may have run. */
  NOTE_MAY_HAVE_RUN,
  /** Ask the retry policy. */
  DECIDE,
  /** Pass the head of the answer on. */
  PASS_HEAD,
  /** Finish the answer. */
  FINISH,
  /** Refuse the request with the verdict over all of its attempts. */
  REFUSE,
  /** Break off an answer of which the caller has a part. */
  ABORT,
  /** Tell the sidecar that nobody waits any more. */
  CANCEL_REMOTE,
  /** Note that the deadline has passed. */
  NOTE_DEADLINE,
  /** Note that the caller has gone. */
  NOTE_CANCELLED,
  /** Note that no endpoint was usable. */
  NOTE_NO_ENDPOINT
}
