package org.carobhoist.server.gateway.upstream;

/** Receives which servers sent bytes that were no awaited response. */
public interface OutOfStepListener {

  /**
   * Called when a connection is closed because its server is out of step.
   *
   * @param address host and port of the server
   */
  void onOutOfStep(String address);
}
