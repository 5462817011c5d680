package org.carobhoist.core.manifest;

/** What may be done with a route's requests. */
public enum RouteKind {
  /** A request may run more than once. */
  IDEMPOTENT,
  /** A request runs at most once. */
  NON_IDEMPOTENT,
  /** The answer is a series of events; unless it can be resumed, a request runs at most once. */
  STREAMING,
  /** Jobs of many items, which run in the background. */
  JOBS
}
