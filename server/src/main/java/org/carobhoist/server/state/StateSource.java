package org.carobhoist.server.state;

/** A part of a process that can be dumped; read on the decision loop. */
public interface StateSource {

  /** Returns the part's name in the dump, in lower case with hyphens. */
  String name();

  /** Returns the part's present state as a record of values that JSON can carry. */
  Object state();
}
