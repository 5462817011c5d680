package org.carobhoist.server.runtime;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.limit.BufferBudget;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/**
 * The connections that a process has accepted, with their limits. If there are too many, the one
 * that has been without a complete request for longest is closed. One that doesn't read its
 * response is closed after a while.
 */
public final class ClientConnections {

  /** Memory of a connection without a request, with the HTTP library's handlers. */
  private static final int CONNECTION_BYTES = 65_536;

  /** Callers may come through one load balancer, so an address may have half of all connections. */
  private static final int ADDRESS_DIVISOR = 2;

  /** Time without progress after which a response counts as not read; the usual idle timeout. */
  private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(15);

  private final Clock clock;
  private final BufferBudget budget;
  private final Supplier<Duration> headTimeout;
  private final int maxConnections;
  private final Map<Channel, WriteProgress> open = new LinkedHashMap<>();
  private final Map<Channel, Boolean> withoutRequest = new LinkedHashMap<>();
  private final Map<InetAddress, Integer> perAddress = new HashMap<>();
  private final Map<ConnectionRefusal, Long> refusals = new HashMap<>();

  /** Bytes that a channel has yet to write, and since when this number hasn't changed. */
  private record WriteProgress(long pendingBytes, Duration since) {}

  /**
   * Returns limits for a process without connections. They are accessed by the threads of the
   * server.
   *
   * @param budget the memory for heads; accessed by one thread at a time
   * @param headTimeout most time from a head's first byte to its last
   */
  public ClientConnections(Clock clock, BufferBudget budget, Supplier<Duration> headTimeout) {
    this.clock = clock;
    this.budget = budget;
    this.headTimeout = headTimeout;
    this.maxConnections = (int) (Runtime.getRuntime().maxMemory() / CONNECTION_BYTES);
  }

  /** Adds the handlers that enforce the limits to a new connection. */
  public void addTo(ChannelPipeline pipeline) {
    RequestHeadHandler.addTo(pipeline, this);
  }

  /** Closes connections whose peers don't read; called a few times per second. */
  public synchronized void checkWrites() {
    Duration now = clock.elapsed();
    for (Map.Entry<Channel, WriteProgress> e : new ArrayList<>(open.entrySet())) {
      ChannelOutboundBuffer buffer = e.getKey().unsafe().outboundBuffer();
      long pending = buffer == null ? 0 : buffer.totalPendingWriteBytes();
      if (pending == 0 || pending != e.getValue().pendingBytes()) {
        open.put(e.getKey(), new WriteProgress(pending, now));
      } else if (now.minus(e.getValue().since()).compareTo(WRITE_TIMEOUT) >= 0) {
        close(e.getKey(), ConnectionRefusal.UNREAD);
      }
    }
  }

  /** Returns the number of open connections. */
  public synchronized int size() {
    return open.size();
  }

  /** Returns how many connections were closed for a cause. */
  public synchronized long refusals(ConnectionRefusal cause) {
    return refusals.getOrDefault(cause, 0L);
  }

  Duration headTimeout() {
    return headTimeout.get();
  }

  /** Returns a counter of the memory of a head. */
  synchronized BufferBudget.Buffer openBuffer(Runnable onDiscard) {
    return budget.open(onDiscard);
  }

  synchronized void add(BufferBudget.Buffer buffer, long bytes) {
    buffer.add(bytes);
  }

  synchronized void release(BufferBudget.Buffer buffer) {
    buffer.close();
  }

  synchronized void onOpen(Channel channel) {
    open.put(channel, new WriteProgress(0, clock.elapsed()));
    withoutRequest.put(channel, true);
    InetAddress address = address(channel.remoteAddress());
    int sameAddress = perAddress.merge(address, 1, Integer::sum);
    if (sameAddress > maxConnections / ADDRESS_DIVISOR) {
      closeOldest(address);
    } else if (open.size() > maxConnections) {
      closeOldest(null);
    }
  }

  synchronized void onClose(Channel channel) {
    withoutRequest.remove(channel);
    if (open.remove(channel) != null) {
      perAddress.computeIfPresent(
          address(channel.remoteAddress()), (a, n) -> n > 1 ? Integer.valueOf(n - 1) : null);
    }
  }

  /** Called when a complete head was received. */
  synchronized void onRequest(Channel channel) {
    withoutRequest.remove(channel);
  }

  /** Called when a request was received to its end. */
  synchronized void onRequestEnd(Channel channel) {
    if (open.containsKey(channel)) {
      withoutRequest.put(channel, true);
    }
  }

  synchronized void onRefused(ConnectionRefusal cause, SocketAddress peer) {
    refusals.merge(cause, 1L, Long::sum);
    EventLog.info(LogEvent.CONNECTION_REFUSED, "peer", peer, "why", cause.text());
  }

  private void closeOldest(InetAddress address) {
    List<Channel> candidates = new ArrayList<>(withoutRequest.keySet());
    candidates.stream()
        .filter(c -> address == null || address.equals(address(c.remoteAddress())))
        .findFirst()
        .ifPresent(c -> close(c, ConnectionRefusal.CONNECTIONS));
  }

  private void close(Channel channel, ConnectionRefusal cause) {
    onRefused(cause, channel.remoteAddress());
    onClose(channel);
    channel.close();
  }

  /** Returns the address without the port; a channel that was closed at once has none. */
  private static InetAddress address(SocketAddress peer) {
    return peer instanceof InetSocketAddress a ? a.getAddress() : InetAddress.getLoopbackAddress();
  }
}
