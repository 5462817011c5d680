package org.carobhoist.server.gateway;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.Endpoint;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.SessionProtocol;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * HTTP clients for the servers, one per address. The connections are pooled in the client factory.
 * The least recently used clients are evicted.
 */
final class UpstreamClients {

  /** Maximum number of clients; a client is small, and an installation has hundreds of servers. */
  private static final int MAX_CLIENTS = 1_024;

  /** Maximum size of a response that is aggregated; reports and scores are a few KiB. */
  private static final long MAX_RESPONSE_BYTES = 1 << 20;

  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final ClientFactory factory;
  private final Map<String, WebClient> clients =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, WebClient> eldest) {
          return size() > MAX_CLIENTS;
        }
      };

  UpstreamClients(ClientFactory factory) {
    this.factory = factory;
  }

  /**
   * Sends a request of this process's own, such as an order to an engine or a reward call, whose
   * response is aggregated.
   *
   * @param timeout time until the response must be complete; zero for no timeout
   */
  HttpResponse sendBuffered(String address, HttpRequest request, Duration timeout) {
    RequestOptions options =
        RequestOptions.builder()
            .responseTimeout(timeout)
            .maxResponseLength(MAX_RESPONSE_BYTES)
            .build();
    return clients.computeIfAbsent(address, this::client).execute(request, options);
  }

  /**
   * Sends a request whose response is streamed; the subscriber has to limit what it buffers.
   *
   * @param timeout time until the response must be complete; zero for no timeout
   */
  HttpResponse sendStreaming(String address, HttpRequest request, Duration timeout) {
    WebClient client = clients.computeIfAbsent(address, this::client);
    RequestOptions options = RequestOptions.builder().responseTimeout(timeout).build();
    return client.execute(request, options);
  }

  private WebClient client(String address) {
    return WebClient.builder(SessionProtocol.H1C, Endpoint.parse(address))
        .factory(factory)
        .maxResponseLength(0)
        .build();
  }
}
