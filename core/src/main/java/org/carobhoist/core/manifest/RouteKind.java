package org.carobhoist.core.manifest;

/** Kind of a route's requests. */
public enum RouteKind {
  /** A request may run more than once. */
  IDEMPOTENT,
  /** A request runs at most once. */
  NON_IDEMPOTENT,
  /** The response is a stream of events; a request runs at most once unless it is resumable. */
  STREAMING,
  /** Requests submit jobs of many items, which run in the background. */
  JOBS
}
