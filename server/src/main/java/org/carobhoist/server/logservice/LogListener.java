package org.carobhoist.server.logservice;

/** Sees the reads of the log that a process makes anyway; called on the decision loop. */
public interface LogListener {

  /** A read is about to be sent; one is under way at a time. */
  void onReadSent();

  /**
   * A read has been answered.
   *
   * @param from the offset that it asked for
   * @param batch the answer
   */
  void onBatch(long from, LogBatch batch);
}
