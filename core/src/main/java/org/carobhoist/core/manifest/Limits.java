package org.carobhoist.core.manifest;

import java.time.Duration;

/**
 * What clients may send and how long they may take.
 *
 * @param headerBytes most bytes of a request's head
 * @param bodyBytes most bytes of a request's body
 * @param headerTimeout longest time for a request's head
 * @param idleTimeout longest time that a connection may stay idle
 */
public record Limits(
    int headerBytes, long bodyBytes, Duration headerTimeout, Duration idleTimeout) {}
