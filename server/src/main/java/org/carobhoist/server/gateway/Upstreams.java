package org.carobhoist.server.gateway;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.Endpoint;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.SessionProtocol;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Clients of the servers, one for each address; their connections are kept and used again. */
final class Upstreams {

  private final ClientFactory factory;
  private final Map<String, WebClient> clients = new HashMap<>();

  Upstreams(ClientFactory factory) {
    this.factory = factory;
  }

  /**
   * Sends a request.
   *
   * @param timeout time until the whole answer has to be there; zero for none
   */
  HttpResponse send(String address, HttpRequest request, Duration timeout) {
    WebClient client = clients.computeIfAbsent(address, this::client);
    RequestOptions options = RequestOptions.builder().responseTimeout(timeout).build();
    return client.execute(request, options);
  }

  /** Forgets the client of an address that is no longer used. */
  void forget(String address) {
    clients.remove(address);
  }

  private WebClient client(String address) {
    return WebClient.builder(SessionProtocol.H1C, Endpoint.parse(address))
        .factory(factory)
        .maxResponseLength(0)
        .build();
  }
}
