package org.carobhoist.core.limit;

/** Receives the decisions about a body that is being received. */
public interface BodyListener {

  /** Called when a paused body may be read on. */
  void onResume();

  /** Called when the body must be dropped; its request has not run and must be refused. */
  void onRefused(BodyRefusal cause);
}
