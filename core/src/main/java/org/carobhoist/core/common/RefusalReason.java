package org.carobhoist.core.common;

/** Kinds of refusal, each with its HTTP status. */
public enum RefusalReason {
  /** The service or path is unknown. */
  UNKNOWN_SERVICE(404),
  /** The request is malformed. */
  BAD_REQUEST(400),
  /** The idempotency key is malformed or from the future. */
  BAD_KEY(400),
  /** The idempotency key was used with another body. */
  KEY_REUSED(422),
  /** It goes against a newer decision. */
  CONFLICT(409),
  /** No key can be checked at the moment; issued keys go on working. */
  KEY_UNAVAILABLE(503),
  /** The answer to this key has been forgotten, or its home is gone. */
  KEY_FORGOTTEN(409),
  /** No endpoint takes the request at the moment. */
  NO_ENDPOINT(503),
  /** The endpoint's queue is full or too long for the deadline. */
  OVERLOADED(429),
  /** The instance is shutting down. */
  DRAINING(503),
  /** The deadline has passed. */
  DEADLINE(504),
  /** The link to the sidecar broke. */
  LINK_LOST(502),
  /** The endpoint failed or cut its answer short. */
  ENDPOINT_FAILED(502),
  /** The caller went away. */
  CANCELLED(499),
  /** The process has no configuration yet. */
  NOT_READY(503);

  private final int status;

  RefusalReason(int status) {
    this.status = status;
  }

  /** Returns the HTTP status for this kind of refusal. */
  public int status() {
    return status;
  }
}
