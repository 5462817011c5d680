package org.carobhoist.server.runtime;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryOptions;
import io.netty.channel.ChannelPipeline;
import java.util.function.Consumer;

/**
 * Client factories whose connections serve one request each. They are for servers whose responses
 * bear no request id: on a connection that is kept, a late second response to an earlier request,
 * or the beginning of one, would pass for the response to the next.
 */
public final class SingleUseConnections {

  private static final ClientFactory FACTORY = create(SingleUseConnections::customize);

  private SingleUseConnections() {}

  /** Returns the shared factory, whose responses fail if they are malformed or reset. */
  public static ClientFactory factory() {
    return FACTORY;
  }

  /**
   * Creates a factory that limits what it reads, and whose responses fail if they are malformed or
   * reset.
   *
   * @param maxBytes number of bytes received after which a connection is closed
   */
  public static ClientFactory boundedFactory(long maxBytes) {
    return create(
        pipeline -> {
          customize(pipeline);
          InboundByteLimit.addTo(pipeline, maxBytes);
        });
  }

  private static void customize(ChannelPipeline pipeline) {
    ResponseValidationHandler.addTo(pipeline);
    ConnectionResetHandler.addTo(pipeline);
  }

  private static ClientFactory create(Consumer<ChannelPipeline> customizer) {
    return ClientFactory.builder()
        .maxNumRequestsPerConnection(1)
        .option(ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER, customizer)
        .build();
  }
}
