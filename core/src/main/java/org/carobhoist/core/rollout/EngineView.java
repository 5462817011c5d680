package org.carobhoist.core.rollout;

import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;

/**
 * A step's view of an engine at the time it chooses one for an attempt.
 *
 * @param instance the engine's instance
 * @param version the weight version that its sidecar last read from the engine and announced; 0 if
 *     it is unknown. Only used to choose an engine, never to attribute tokens to a version, because
 *     the engine may have changed it meanwhile
 * @param window maximum number of attempts of this step in flight at the engine, at least 0: the
 *     step's fair share of the engine
 */
public record EngineView(InstanceId instance, WeightVersion version, int window) {}
