package org.carobhoist.core.capacity;

/**
 * Load that a server reports with a response.
 *
 * @param running requests that run there
 * @param waiting requests that wait there
 * @param timeFactor how long work takes at this moment as a multiple of the usual time; 0 if the
 *     server doesn't report it
 */
public record ServerLoad(int running, int waiting, double timeFactor) {

  /** Returns the running and waiting requests together. */
  public int inFlight() {
    return running + waiting;
  }
}
