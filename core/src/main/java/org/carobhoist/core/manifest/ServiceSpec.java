package org.carobhoist.core.manifest;

import java.util.Optional;
import org.carobhoist.core.common.ServiceName;

/**
 * Description of a service.
 *
 * @param name its name
 * @param engine properties of its engines; empty if the service has no engines
 */
public record ServiceSpec(ServiceName name, Optional<EngineSpec> engine) {}
