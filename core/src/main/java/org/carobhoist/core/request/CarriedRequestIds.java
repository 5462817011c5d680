package org.carobhoist.core.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The ids of the requests that the open connections to servers have carried. A server may send a
 * response twice, the second time where the response to a later request on the connection is
 * expected. The id in it tells it from the response to any request but one with the same id, so an
 * id is kept as long as a connection that carried it is open. Used on one thread.
 */
public final class CarriedRequestIds {

  private final Map<Key, Integer> connectionCounts = new HashMap<>();
  private int lastNumber;

  private record Key(String address, String id) {}

  private CarriedRequestIds() {}

  /** Creates an empty set. */
  public static CarriedRequestIds create() {
    return new CarriedRequestIds();
  }

  /**
   * Adds a connection that has carried no request.
   *
   * @param address host and port of the server
   */
  public Connection open(String address) {
    lastNumber++;
    return new Connection(address, lastNumber);
  }

  /** Returns whether an open connection to the server has carried a request with the id. */
  public boolean isCarried(String address, String id) {
    return connectionCounts.containsKey(new Key(address, id));
  }

  /** Returns the number of ids kept; an id counts once for each server. */
  public int size() {
    return connectionCounts.size();
  }

  /** A connection that carries one request at a time. */
  public final class Connection {

    private final String address;
    private final int number;
    private final Set<String> ids = new HashSet<>();
    private Optional<String> awaited = Optional.empty();
    private int requestCount;
    private boolean closed;

    private Connection(String address, int number) {
      this.address = address;
      this.number = number;
    }

    /**
     * Called when a request is about to be sent.
     *
     * @param id id of the request, or an empty string if it has none
     * @return whether the connection may carry it; false if it has carried one with the same id, or
     *     has closed
     */
    public boolean onRequest(String id) {
      if (closed) {
        return false;
      }
      if (!id.isEmpty()) {
        if (!ids.add(id)) {
          return false;
        }
        connectionCounts.merge(new Key(address, id), 1, Integer::sum);
      }
      requestCount++;
      awaited = Optional.of(id);
      return true;
    }

    /** Returns whether a response with the id, which may be empty, is the awaited one. */
    public boolean isAwaited(String responseId) {
      return awaited.isPresent() && awaited.get().equals(responseId);
    }

    /** Returns whether this connection has carried a request with the id. */
    public boolean hasCarried(String id) {
      return ids.contains(id);
    }

    /** Returns whether a request was sent whose response has not ended. */
    public boolean isAwaiting() {
      return awaited.isPresent();
    }

    /** Called when the awaited response has ended. */
    public void onResponseEnd() {
      awaited = Optional.empty();
    }

    /** Returns host and port of the server. */
    public String address() {
      return address;
    }

    /** Returns the id of the request whose response is awaited; empty if there is none. */
    public String awaitedId() {
      return awaited.orElse("");
    }

    /** Called when the connection has closed; its ids are forgotten. */
    public void close() {
      closed = true;
      for (String id : ids) {
        connectionCounts.computeIfPresent(
            new Key(address, id), (key, count) -> count > 1 ? count - 1 : null);
      }
      ids.clear();
    }

    /** Returns the connection's number in this process and its request count, for the log. */
    @Override
    public String toString() {
      return number + "/" + requestCount;
    }
  }
}
