package org.carobhoist.server.logservice;

/** Listener for the log reads of a process. It is called on the decision loop. */
public interface LogReadListener {

  /** Called before a read is sent. At most one read is in progress at a time. */
  void onReadSent();

  /**
   * Called when a read has succeeded.
   *
   * @param from the requested offset
   * @param batch the records returned by the read
   */
  void onBatch(long from, LogBatch batch);
}
