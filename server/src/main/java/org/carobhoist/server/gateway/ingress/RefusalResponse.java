package org.carobhoist.server.gateway.ingress;

import com.linecorp.armeria.common.ResponseHeaders;
import java.time.Duration;
import java.util.Optional;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.Verdict;
import org.carobhoist.platform.CallHeaders;

/** Responses that this process generates for forwarded requests that it refuses. */
final class RefusalResponse {

  /** Retry delay that is sent to the client with refusals of requests that have not run. */
  private static final Duration RETRY_AFTER = Duration.ofMillis(100);

  private RefusalResponse() {}

  /** Returns the headers of the response to a refused request. */
  static ResponseHeaders headers(Refusal refusal, String id) {
    Optional<Duration> retryAfter =
        refusal.verdict() == Verdict.NOT_RUN ? Optional.of(RETRY_AFTER) : Optional.empty();
    return CallHeaders.localResponse(status(refusal), id, retryAfter);
  }

  /**
   * Returns the status of a refusal. 429 and 503 mean that the request has not run and never will;
   * with other statuses it may have run.
   */
  private static int status(Refusal refusal) {
    boolean notRun = refusal.verdict() == Verdict.NOT_RUN;
    return switch (refusal.reason()) {
      case DEADLINE, CANCELLED -> notRun ? 503 : 504;
      case OVERLOADED -> notRun ? 429 : 502;
      default -> notRun ? 503 : 502;
    };
  }
}
