package org.carobhoist.core.profile;

import java.time.Duration;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.Priority;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.limit.TenantPolicy;
import org.carobhoist.core.request.RetryPolicy;
import org.carobhoist.core.rollout.RolloutPolicy;

/**
 * A checked profile.
 *
 * @param name its name
 * @param service the service to which it applies
 * @param kind model or plain service
 * @param rollout how samples are made; also present, with defaults, for a plain service
 * @param retry how often requests are sent again
 * @param deadline deadline of a request whose caller names none
 * @param priority class of its requests in a queue
 * @param share its part in an endpoint, next to other profiles of its class
 */
public record Profile(
    ProfileName name,
    ServiceName service,
    EndpointKind kind,
    RolloutPolicy rollout,
    RetryPolicy retry,
    Duration deadline,
    Priority priority,
    TenantPolicy share) {}
