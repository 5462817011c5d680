package org.carobhoist.core.common;

/** What stands behind a sidecar. */
public enum EndpointKind {
  /** A model engine. */
  ENGINE,
  /** A plain service. */
  PLAIN
}
