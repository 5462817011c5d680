package org.carobhoist.core.idempotency;

import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;

/**
 * One run of a sidecar that may be the home of keys.
 *
 * @param instance its instance
 * @param incarnation its run
 */
public record HomeMember(InstanceId instance, Incarnation incarnation) {}
