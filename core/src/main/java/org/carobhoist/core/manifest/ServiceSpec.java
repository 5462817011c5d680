package org.carobhoist.core.manifest;

import java.util.Optional;
import org.carobhoist.core.common.ServiceName;

/**
 * What is known of a service.
 *
 * @param name its name
 * @param engine what its engines are like; empty for a plain service
 */
public record ServiceSpec(ServiceName name, Optional<EngineSpec> engine) {}
