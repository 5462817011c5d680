package org.carobhoist.server.gateway.upstream;

import com.linecorp.armeria.client.ClientRequestContext;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.logging.RequestLog;
import com.linecorp.armeria.common.logging.RequestLogProperty;
import java.util.Optional;

/** A request that is sent to a server, with its response. */
public final class Exchange {

  private final HttpResponse response;
  private final Optional<ClientRequestContext> context;

  /**
   * Creates an exchange.
   *
   * @param context context of the request; empty if the request was rejected before it had one
   */
  Exchange(HttpResponse response, Optional<ClientRequestContext> context) {
    this.response = response;
    this.context = context;
  }

  /** Returns the response, whose parts arrive as the server sends them. */
  public HttpResponse response() {
    return response;
  }

  /**
   * Returns the connection that carries the request, and how many requests it has carried, for the
   * log; an empty string before the request has a connection.
   */
  public String connection() {
    return context
        .map(c -> c.log().getIfAvailable(RequestLogProperty.SESSION))
        .map(RequestLog::channel)
        .map(ResponseMatchingHandler::connectionName)
        .orElse("");
  }
}
