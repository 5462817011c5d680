package org.carobhoist.core.membership;

/** Operations that an {@link EndpointLifecycle} requests from its sidecar. */
public interface EndpointLifecyclePort {

  /** Announces the current phase to every entry. */
  void announce();

  /** Calls {@link EndpointLifecycle#onGracePeriodEnded()} after the grace period for entries. */
  void startGrace();

  /** Refuses new requests from now on. */
  void refuseNew();

  /** Accepts new requests again. */
  void admitNew();

  /** Calls {@link EndpointLifecycle#onStepTimeout()} after the time limit of the drain. */
  void startDrainTimeLimit();

  /** Calls {@link EndpointLifecycle#onIdle()} as soon as no request is running or queued. */
  void awaitIdle();

  /**
   * Calls {@link EndpointLifecycle#onFlushed()} as soon as entries have read all data sent to them.
   */
  void flush();

  /** Allows the process to exit. */
  void finish();
}
