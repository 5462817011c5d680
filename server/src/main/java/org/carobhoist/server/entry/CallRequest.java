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
 * A caller's request with the settings of its profile applied.
 *
 * @param id the request's id
 * @param service the requested service
 * @param profile the profile that applies to the request
 * @param path path and query that are sent to the endpoint
 * @param http method, headers and body
 * @param idempotent whether the request may run more than once
 * @param key the idempotency key that the caller sent; always empty if idempotent
 * @param retry limits the number of attempts
 * @param deadline maximum time from the start of the call to the end of its response
 * @param priority priority class in the endpoint's queue
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
