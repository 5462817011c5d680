package org.carobhoist.server.sidecar;

/** Gives out the numbers of admission tickets; used on the decision loop only. */
final class TicketIds {

  private long last;

  long next() {
    return ++last;
  }
}
