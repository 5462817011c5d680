package org.carobhoist.server.entry;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import java.time.Duration;
import java.util.Optional;
import org.carobhoist.core.common.Priority;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.common.RequestId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.idempotency.RequestKey;
import org.carobhoist.core.request.RetryPolicy;

/**
 * A caller's request, after its profile has been applied.
 *
 * @param id the request's id
 * @param service the service wanted
 * @param profile the profile in force for it
 * @param path path and query at the endpoint
 * @param http method, headers and body
 * @param idempotent whether it may run more than once
 * @param key the key that the caller sent, if the request needs one
 * @param retry how often to try
 * @param deadline longest time until the answer
 * @param priority class in the endpoint's queue
 */
record CallRequest(
    RequestId id,
    ServiceName service,
    ProfileName profile,
    String path,
    AggregatedHttpRequest http,
    boolean idempotent,
    Optional<RequestKey> key,
    RetryPolicy retry,
    Duration deadline,
    Priority priority) {}
