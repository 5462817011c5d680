package org.carobhoist.server.sidecar;

/** Generates ids of admission tickets; used on the decision loop only. */
final class TicketIds {

  private long last;

  long next() {
    return ++last;
  }
}
