package org.carobhoist.server.gateway.upstream;

import io.netty.channel.ChannelPipeline;
import org.carobhoist.core.request.CarriedRequestIds;
import org.carobhoist.server.runtime.ConnectionResetHandler;
import org.carobhoist.server.runtime.ResponseValidationHandler;

/** The handlers that check what servers and the store send to a gateway. */
public final class UpstreamPipeline {

  private UpstreamPipeline() {}

  /**
   * Adds the handlers to a new connection.
   *
   * @param ids ids that the connections have carried
   * @param listener notified if the connection is out of step
   */
  public static void customize(
      ChannelPipeline pipeline, CarriedRequestIds ids, OutOfStepListener listener) {
    // The validator comes right before the codec, since each one is added in front of the last.
    ResponseValidationHandler.addTo(pipeline);
    ResponseMatchingHandler.addTo(pipeline, ids, listener);
    ConnectionResetHandler.addTo(pipeline);
  }
}
