package org.carobhoist.server.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.carobhoist.core.common.Clock;
import org.carobhoist.platform.StoreCall;
import org.carobhoist.platform.StoreReply;
import org.carobhoist.platform.StoreTransport;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * Reaches the store directly, or by way of a peer while the store turns this machine away. Every
 * call of this process may be made twice: appends carry a condition or say the same each time. A
 * direct call that fails is made again by way of a peer. If a probe of another shard fails too, the
 * path itself is given up until a probe succeeds; else only a part of the store is away. Calls
 * whose answers are large keep their own time: a store that has much to send answers late without
 * being away, and what it sends to nobody makes it later still.
 */
final class StorePaths implements StoreTransport {

  /** Time between two probes of a direct path that has failed. */
  private static final Duration PROBE_PERIOD = Duration.ofMillis(400);

  /** Time for the answer to a probe; the store answers in 4 ms, or some 250 ms when it is slow. */
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(600);

  /** Calls that are given longer have large answers; a waiting read is given 1.7 s. */
  private static final Duration LONGEST_SMALL_CALL = Duration.ofSeconds(2);

  private final StoreTransport direct;
  private final Supplier<List<StoreTransport>> peers;
  private final List<StoreCall> probes;
  private final DecisionLoop loop;
  private final Clock clock;
  private final Set<CompletableFuture<StoreReply>> smallCalls = new HashSet<>();
  private boolean suspect;
  private boolean verifying;
  private Duration trustedUntil = Duration.ZERO;

  /**
   * Creates the paths.
   *
   * @param peers paths by way of peers that reach the store, the best one first
   * @param probes calls that are cheap and have no effect, each to another shard
   */
  StorePaths(
      StoreTransport direct,
      Supplier<List<StoreTransport>> peers,
      List<StoreCall> probes,
      DecisionLoop loop,
      Clock clock) {
    this.direct = direct;
    this.peers = peers;
    this.probes =
        probes.stream()
            .map(p -> new StoreCall(p.method(), p.target(), p.content(), PROBE_TIMEOUT))
            .toList();
    this.loop = loop;
    this.clock = clock;
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
    if (call.timeout().compareTo(LONGEST_SMALL_CALL) <= 0) {
      smallCalls.add(out);
    }
    direct
        .call(call)
        .whenCompleteAsync(
            (reply, failure) -> {
              smallCalls.remove(out);
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
    verify(failure == null ? "status " + reply.status() : failure.toString());
    List<StoreTransport> others = peers.get();
    if (!others.isEmpty()) {
      return others.get(0).call(call);
    }
    return failure == null
        ? CompletableFuture.completedFuture(reply)
        : CompletableFuture.failedFuture(failure);
  }

  /** Finds out whether a failure concerns the whole path. */
  private void verify(String why) {
    if (suspect || verifying || clock.elapsed().compareTo(trustedUntil) < 0) {
      return;
    }
    verifying = true;
    probeAll()
        .whenCompleteAsync(
            (reachable, failure) -> {
              verifying = false;
              if (reachable) {
                trustedUntil = clock.elapsed().plus(PROBE_PERIOD);
              } else {
                suspect(why);
              }
            },
            loop);
  }

  private void suspect(String why) {
    suspect = true;
    EventLog.warn(LogEvent.STORE_PATH_LOST, "why", why, "calls", smallCalls.size());
    // Calls in flight on the same path would only be noticed at their own time-outs.
    List<CompletableFuture<StoreReply>> waiting = new ArrayList<>(smallCalls);
    waiting.forEach(c -> c.completeExceptionally(new IllegalStateException("path given up")));
    loop.after(PROBE_PERIOD, this::probe);
  }

  private void probe() {
    probeAll()
        .whenCompleteAsync(
            (reachable, failure) -> {
              if (reachable) {
                suspect = false;
                EventLog.info(LogEvent.STORE_PATH_REGAINED);
              } else {
                loop.after(PROBE_PERIOD, this::probe);
              }
            },
            loop);
  }

  /** Completes with whether the store answers for any of the shards that are asked for. */
  private CompletableFuture<Boolean> probeAll() {
    CompletableFuture<Boolean> any = new CompletableFuture<>();
    List<CompletableFuture<Void>> all = new ArrayList<>();
    for (StoreCall probe : probes) {
      all.add(
          direct
              .call(probe)
              .thenAccept(reply -> completeIfServed(any, reply))
              .exceptionally(unreachable -> null));
    }
    CompletableFuture.allOf(all.toArray(CompletableFuture[]::new))
        .thenRun(() -> any.complete(false));
    return any;
  }

  private static void completeIfServed(CompletableFuture<Boolean> any, StoreReply reply) {
    if (!reply.isTurnedAway()) {
      any.complete(true);
    }
  }
}
