package org.carobhoist.server.gateway;

/** Receives which servers sent bytes that were no awaited response. */
interface OutOfStepListener {

  /**
   * Called when a connection is closed because its server is out of step.
   *
   * @param address host and port of the server
   */
  void onOutOfStep(String address);
}
