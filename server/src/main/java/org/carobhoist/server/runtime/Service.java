package org.carobhoist.server.runtime;

import java.util.concurrent.CompletableFuture;

/** Something with a life of its own: it owns threads, sockets or timers between start and stop. */
public interface Service {

  /** Starts; the future completes when it works, or exceptionally if it can't. */
  CompletableFuture<Void> start();

  /** Stops in an orderly way; the future completes when everything is released. */
  CompletableFuture<Void> stop();
}
