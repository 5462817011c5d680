package org.carobhoist.core.rollout;

import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;

/**
 * What a step knows of an engine at the moment of a choice.
 *
 * @param instance the engine's instance
 * @param version the weight version that its sidecar announces as read back; 0 if it is unknown;
 *     only a hint for the choice, never an attribution
 * @param window most attempts of this step that may be in flight there, from 0; it is the step's
 *     fair share of the engine
 */
public record EngineView(InstanceId instance, WeightVersion version, int window) {}
