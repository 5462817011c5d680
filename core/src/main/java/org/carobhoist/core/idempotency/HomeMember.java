package org.carobhoist.core.idempotency;

import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;

/**
 * One incarnation of a sidecar that may be the home of caller-generated keys. Only the home of a
 * key runs the request with that key.
 *
 * @param instance the sidecar's instance
 * @param incarnation identifies one run of the sidecar process
 */
public record HomeMember(InstanceId instance, Incarnation incarnation) {}
