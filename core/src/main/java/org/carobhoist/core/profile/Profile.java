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
 * A validated profile.
 *
 * @param name its name
 * @param service the service to which it applies
 * @param kind model or plain service
 * @param rollout how samples are generated; also present, with defaults, for a plain service
 * @param retry how often requests are retried
 * @param deadline default deadline of requests whose caller sets none
 * @param priority priority class of its requests in queues
 * @param share its share of an endpoint relative to other profiles of the same priority class
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
