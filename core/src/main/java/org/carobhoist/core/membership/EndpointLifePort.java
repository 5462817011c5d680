package org.carobhoist.core.membership;

/** What an {@link EndpointLife} asks of its surroundings. */
public interface EndpointLifePort {

  /** Tells every entry the present phase. */
  void announce();

  /** Calls {@link EndpointLife#onGraceOver()} after the grace for entries. */
  void startGrace();

  /** Refuses new work from now on. */
  void refuseNew();

  /** Takes new work again. */
  void admitNew();

  /** Calls {@link EndpointLife#onIdle()} as soon as nothing runs and nothing waits. */
  void awaitIdle();

  /** Calls {@link EndpointLife#onFlushed()} as soon as entries have read everything. */
  void flush();

  /** Lets the process end. */
  void finish();
}
