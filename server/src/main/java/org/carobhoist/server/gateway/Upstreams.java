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
 * Clients of the servers, one for each address; their connections belong to the factory, are kept
 * and used again. Clients of addresses that were unused the longest are dropped.
 */
final class Upstreams {

  /** Clients kept; a client is small, and an installation has some hundreds of servers. */
  private static final int MOST_CLIENTS = 1_024;

  /** Most bytes of an answer to a call of this process's own; reports and scores have some KiB. */
  private static final long MAX_ANSWER_BYTES = 1 << 20;

  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final ClientFactory factory;
  private final Map<String, WebClient> clients =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, WebClient> eldest) {
          return size() > MOST_CLIENTS;
        }
      };

  Upstreams(ClientFactory factory) {
    this.factory = factory;
  }

  /**
   * Sends a request of this process's own, whose answer is read when it is whole.
   *
   * @param timeout time until the whole answer has to be there; zero for none
   */
  HttpResponse call(String address, HttpRequest request, Duration timeout) {
    RequestOptions options =
        RequestOptions.builder()
            .responseTimeout(timeout)
            .maxResponseLength(MAX_ANSWER_BYTES)
            .build();
    return clients.computeIfAbsent(address, this::client).execute(request, options);
  }

  /**
   * Sends a request whose answer is read as it comes; its reader bounds what it keeps.
   *
   * @param timeout time until the whole answer has to be there; zero for none
   */
  HttpResponse send(String address, HttpRequest request, Duration timeout) {
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
