package org.carobhoist.core.manifest;

import java.util.List;

/**
 * What the engines of a service are like.
 *
 * @param slots runs that an engine makes at once
 * @param memoryTokens tokens that its memory holds
 * @param eventTokens tokens that one event of a stream stands for
 * @param models the models that it serves
 */
public record EngineSpec(int slots, long memoryTokens, int eventTokens, List<String> models) {}
