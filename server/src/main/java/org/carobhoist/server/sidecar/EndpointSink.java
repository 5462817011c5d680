package org.carobhoist.server.sidecar;

import com.linecorp.armeria.common.ResponseHeaders;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.Refusal;

/**
 * Receives an endpoint's response as it arrives. The last call is either {@link #onEnd} or {@link
 * #onFailed}, never both.
 */
interface EndpointSink {

  /** Called when the response headers have arrived. */
  void onHead(ResponseHeaders headers);

  /**
   * Called for each chunk of the body.
   *
   * @return a future that completes, normally or not, when the sink no longer keeps the chunk; the
   *     response is read on only while few chunks are kept
   */
  CompletableFuture<Void> onData(byte[] content);

  /** Called when the response has completed normally. */
  void onEnd();

  /**
   * Called when there is no complete response; the refusal says whether the request may have run.
   */
  void onFailed(Refusal refusal);
}
