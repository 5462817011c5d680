package org.carobhoist.core.manifest;

import java.util.List;

/**
 * Properties of the engines of a service.
 *
 * @param slots maximum number of concurrent runs of an engine
 * @param memoryTokens number of tokens that an engine's memory holds
 * @param tokensPerEvent number of tokens per event of a stream
 * @param models the models that an engine serves
 */
public record EngineSpec(int slots, long memoryTokens, int tokensPerEvent, List<String> models) {}
