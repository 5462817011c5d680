package org.carobhoist.server.gateway.upstream;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientRequestContextCaptor;
import com.linecorp.armeria.client.Clients;
import com.linecorp.armeria.client.Endpoint;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.SessionProtocol;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.carobhoist.core.request.CarriedRequestIds;
import org.carobhoist.core.request.ConnectionReusePolicy;
import org.carobhoist.platform.CallHeaders;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/**
 * HTTP clients for the servers, one per address. The connections are pooled in the client factory.
 * The least recently used clients are evicted.
 *
 * <p>A request whose id an open connection to the server has carried gets a connection of its own:
 * on a pooled one, a late second response to the earlier request would pass for its response. The
 * same holds for ids that there is no room to remember, and for servers to which no connection is
 * reused.
 */
public final class UpstreamClients {

  /** Maximum number of clients; a client is small, and an installation has hundreds of servers. */
  private static final int MAX_CLIENTS = 1_024;

  /** Maximum size of a response that is aggregated; reports and scores are a few KiB. */
  private static final long MAX_RESPONSE_BYTES = 1 << 20;

  /** Maximum number of ids that open connections have carried, of about 200 bytes each. */
  private static final int MAX_CARRIED_IDS = 32_768;

  /** Maximum length of an id on a pooled connection, in characters. */
  private static final int MAX_POOLED_ID_LENGTH = 128;

  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final ClientFactory pooled;
  private final ClientFactory singleUse;
  private final Map<String, WebClient> pooledClients = clientCache();
  private final Map<String, WebClient> singleUseClients = clientCache();
  private final CarriedRequestIds carriedIds;
  private final ConnectionReusePolicy reuse;

  /**
   * Creates clients without connections.
   *
   * @param pooled factory whose connections serve many requests
   * @param singleUse factory whose connections serve one request each
   * @param carriedIds ids that the connections of both factories have carried
   * @param reuse decides which servers get requests on pooled connections
   */
  public UpstreamClients(
      ClientFactory pooled,
      ClientFactory singleUse,
      CarriedRequestIds carriedIds,
      ConnectionReusePolicy reuse) {
    this.pooled = pooled;
    this.singleUse = singleUse;
    this.carriedIds = carriedIds;
    this.reuse = reuse;
  }

  /**
   * Sends a request of this process's own, such as a reward call, whose response is aggregated.
   *
   * @param timeout time until the response must be complete; zero for no timeout
   */
  public HttpResponse sendBuffered(String address, HttpRequest request, Duration timeout) {
    return client(address, request).execute(request, bufferedOptions(timeout));
  }

  /**
   * Sends a request without an id, whose response can't be told from others, on a connection of its
   * own. The response is aggregated.
   *
   * @param timeout time until the response must be complete; zero for no timeout
   */
  public HttpResponse sendOnNewConnection(String address, HttpRequest request, Duration timeout) {
    return client(singleUseClients, singleUse, address).execute(request, bufferedOptions(timeout));
  }

  /**
   * Sends a request whose response is streamed; the subscriber has to limit what it buffers.
   *
   * @param timeout time until the response must be complete; zero for no timeout
   */
  public Exchange sendStreaming(String address, HttpRequest request, Duration timeout) {
    RequestOptions options = RequestOptions.builder().responseTimeout(timeout).build();
    WebClient client = client(address, request);
    try (ClientRequestContextCaptor captor = Clients.newContextCaptor()) {
      HttpResponse response = client.execute(request, options);
      return new Exchange(response, Optional.ofNullable(captor.getOrNull()));
    }
  }

  private WebClient client(String address, HttpRequest request) {
    String id = CallHeaders.requestId(request.headers());
    String canonicalAddress = ResponseMatchingHandler.canonicalAddress(address);
    if (!reuse.mayReuse(canonicalAddress)) {
      return client(singleUseClients, singleUse, address);
    }
    if (carriedIds.isCarried(canonicalAddress, id)) {
      EventLog.info(LogEvent.REQUEST_ID_REPEATED, "request", id, "address", address);
      return client(singleUseClients, singleUse, address);
    }
    boolean remembered = id.length() <= MAX_POOLED_ID_LENGTH && carriedIds.size() < MAX_CARRIED_IDS;
    return remembered
        ? client(pooledClients, pooled, address)
        : client(singleUseClients, singleUse, address);
  }

  private static WebClient client(
      Map<String, WebClient> clients, ClientFactory factory, String address) {
    return clients.computeIfAbsent(
        address,
        key ->
            WebClient.builder(SessionProtocol.H1C, Endpoint.parse(key))
                .factory(factory)
                .maxResponseLength(0)
                .build());
  }

  private static RequestOptions bufferedOptions(Duration timeout) {
    return RequestOptions.builder()
        .responseTimeout(timeout)
        .maxResponseLength(MAX_RESPONSE_BYTES)
        .build();
  }

  private static Map<String, WebClient> clientCache() {
    return new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
      @Override
      protected boolean removeEldestEntry(Map.Entry<String, WebClient> eldest) {
        return size() > MAX_CLIENTS;
      }
    };
  }
}
