package org.carobhoist.server.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.carobhoist.platform.StoreCall;
import org.carobhoist.platform.StoreReply;
import org.carobhoist.platform.StoreTransport;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * Reaches the store directly, or by way of a peer while the store turns this machine away. Every
 * call of this process may be made twice: appends carry a condition or say the same each time. Once
 * a direct call has failed, calls go to peers first until a probe of the direct path succeeds.
 */
final class StorePaths implements StoreTransport {

  /** Time between two probes of a direct path that has failed. */
  private static final Duration PROBE_PERIOD = Duration.ofMillis(400);

  /** Time for the answer to a probe; the store answers in 4 ms, or some 250 ms when it is slow. */
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(600);

  private final StoreTransport direct;
  private final Supplier<List<StoreTransport>> peers;
  private final StoreCall probe;
  private final DecisionLoop loop;
  private final Set<CompletableFuture<StoreReply>> directCalls = new HashSet<>();
  private boolean suspect;

  /**
   * Creates the paths.
   *
   * @param peers paths by way of peers that reach the store, the best one first
   * @param probe a call that is cheap and has no effect
   */
  StorePaths(
      StoreTransport direct,
      Supplier<List<StoreTransport>> peers,
      StoreCall probe,
      DecisionLoop loop) {
    this.direct = direct;
    this.peers = peers;
    this.probe = new StoreCall(probe.method(), probe.target(), probe.content(), PROBE_TIMEOUT);
    this.loop = loop;
  }

  /** Returns whether this process reaches the store by itself. */
  boolean isDirect() {
    return !suspect;
  }

  @Override
  public CompletableFuture<StoreReply> call(StoreCall call) {
    List<StoreTransport> others = peers.get();
    if (suspect && !others.isEmpty()) {
      return others
          .get(0)
          .call(call)
          .exceptionallyCompose(failure -> secondPeer(call, others, failure));
    }
    return direct(call)
        .handle((reply, failure) -> afterDirect(call, reply, failure))
        .thenCompose(next -> next);
  }

  /** Makes a call for a peer; it never goes on to another peer. */
  CompletableFuture<StoreReply> callForPeer(StoreCall call) {
    return direct(call);
  }

  private CompletableFuture<StoreReply> secondPeer(
      StoreCall call, List<StoreTransport> others, Throwable failure) {
    return others.size() > 1 ? others.get(1).call(call) : CompletableFuture.failedFuture(failure);
  }

  private CompletableFuture<StoreReply> direct(StoreCall call) {
    CompletableFuture<StoreReply> out = new CompletableFuture<>();
    directCalls.add(out);
    direct
        .call(call)
        .whenCompleteAsync(
            (reply, failure) -> {
              directCalls.remove(out);
              if (failure == null) {
                out.complete(reply);
              } else {
                out.completeExceptionally(failure);
              }
            },
            loop);
    return out;
  }

  private CompletableFuture<StoreReply> afterDirect(
      StoreCall call, StoreReply reply, Throwable failure) {
    if (failure == null && !reply.isTurnedAway()) {
      return CompletableFuture.completedFuture(reply);
    }
    suspect(failure == null ? "status " + reply.status() : failure.toString());
    List<StoreTransport> others = peers.get();
    if (!others.isEmpty()) {
      return others.get(0).call(call);
    }
    return failure == null
        ? CompletableFuture.completedFuture(reply)
        : CompletableFuture.failedFuture(failure);
  }

  private void suspect(String why) {
    if (suspect) {
      return;
    }
    suspect = true;
    EventLog.warn(LogEvent.STORE_PATH_LOST, "why", why, "calls", directCalls.size());
    // Calls in flight on the same path would only be noticed at their own time-outs.
    List<CompletableFuture<StoreReply>> waiting = new ArrayList<>(directCalls);
    waiting.forEach(c -> c.completeExceptionally(new IllegalStateException("path given up")));
    loop.after(PROBE_PERIOD, this::probe);
  }

  private void probe() {
    direct
        .call(probe)
        .whenCompleteAsync(
            (reply, failure) -> {
              if (failure == null && !reply.isTurnedAway()) {
                suspect = false;
                EventLog.info(LogEvent.STORE_PATH_REGAINED);
              } else {
                loop.after(PROBE_PERIOD, this::probe);
              }
            },
            loop);
  }
}
