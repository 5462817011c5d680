package org.carobhoist.server.runtime;

import java.util.concurrent.CompletableFuture;

/** A component that owns threads, sockets or timers between its start and its stop. */
public interface Service {

  /** Starts the service. The future completes when the service is running, or fails if it can't. */
  CompletableFuture<Void> start();

  /** Stops the service gracefully. The future completes when all resources are released. */
  CompletableFuture<Void> stop();
}
