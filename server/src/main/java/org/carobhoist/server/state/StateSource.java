package org.carobhoist.server.state;

/** A component whose state appears in the state dump; called on the decision loop. */
public interface StateSource {

  /** Returns the component's key in the dump, in lower case with hyphens. */
  String name();

  /** Returns the current state as a value that can be serialized to JSON. */
  Object state();
}
