package org.carobhoist.core.common;

/** Reasons for a refusal, each with its HTTP status. */
public enum RefusalReason {
  /** The service or path is unknown. */
  UNKNOWN_SERVICE(404),
  /** The request is malformed. */
  BAD_REQUEST(400),
  /** The idempotency key is malformed, or its creation time is in the future. */
  BAD_KEY(400),
  /** The idempotency key was already used with a different body. */
  KEY_REUSED(422),
  /** The request conflicts with a newer decision. */
  CONFLICT(409),
  /** The key's home can't be established at the moment; keys issued by this service still work. */
  KEY_UNAVAILABLE(503),
  /** The answer for the key is no longer kept, or the sidecar run that held it is gone. */
  KEY_FORGOTTEN(409),
  /** No endpoint accepts the request at the moment. */
  NO_ENDPOINT(503),
  /** The endpoint's queue is full, or too long to meet the deadline. */
  OVERLOADED(429),
  /** The instance is shutting down. */
  DRAINING(503),
  /** The deadline has passed. */
  DEADLINE(504),
  /** The connection to the sidecar was lost. */
  LINK_LOST(502),
  /** The endpoint failed or truncated its response. */
  ENDPOINT_FAILED(502),
  /** The caller cancelled the request or disconnected. */
  CANCELLED(499),
  /** The process has no configuration yet. */
  NOT_READY(503);

  private final int status;

  RefusalReason(int status) {
    this.status = status;
  }

  /** Returns the HTTP status for this reason. */
  public int status() {
    return status;
  }
}
