package org.carobhoist.core.common;

/** Kind of endpoint that a sidecar serves. */
public enum EndpointKind {
  /** A model engine. */
  ENGINE,
  /** A service other than a model engine. */
  PLAIN
}
