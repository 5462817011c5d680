package org.carobhoist.server.gateway.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.Clock;
import org.carobhoist.platform.StoreCall;
import org.carobhoist.platform.StoreReply;
import org.carobhoist.platform.StoreTransport;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * Calls the store directly, or through a peer while the store can't be reached directly. Every call
 * may be repeated: an append is either conditional or idempotent. A direct call that fails is
 * retried through a peer. If probes of other shards fail too, the direct path is given up until a
 * probe succeeds; otherwise only a part of the store is unavailable. Calls with large responses in
 * flight aren't aborted when the path is given up: a busy store may respond late without being
 * unreachable, and responses that are discarded only add to its load. They are sent again when the
 * path is restored, if a probe that was sent after them has been lost: the store was silent then,
 * and their responses won't come.
 */
public final class FailoverStoreTransport implements StoreTransport {

  /** Interval between probes of a failed path; also how long a successful probe remains valid. */
  private static final Duration PROBE_PERIOD = Duration.ofMillis(400);

  /** Timeout of a probe; the store answers in 4 ms, or in about 250 ms when it is slow. */
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(600);

  /** Calls with a longer timeout have large responses; a waiting read has a timeout of 1.7 s. */
  private static final Duration MAX_SMALL_CALL_TIMEOUT = Duration.ofSeconds(2);

  private final StoreTransport direct;
  private final Supplier<List<StoreTransport>> peers;
  private final List<StoreCall> probes;
  private final DecisionLoop loop;
  private final Clock clock;
  private final Set<CompletableFuture<StoreReply>> smallCalls = new HashSet<>();
  private final Map<CompletableFuture<StoreReply>, LargeCall> largeCalls = new LinkedHashMap<>();
  private boolean directPathDown;
  private boolean verifying;
  private Duration verifiedUntil = Duration.ZERO;
  private Duration lastProbeSentAt = Duration.ZERO;
  private Runnable cancelNextProbe = () -> {};

  /** A call with a large response on the direct path, and when it was sent. */
  private record LargeCall(StoreCall call, Duration sentAt) {}

  /**
   * Creates a transport that uses the direct path first.
   *
   * @param peers transports through peers that reach the store, in order of preference
   * @param probes cheap calls without side effects, each to another shard
   */
  public FailoverStoreTransport(
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

  /** Returns whether this process reaches the store directly. */
  public boolean isDirectPathUp() {
    return !directPathDown;
  }

  @Override
  public CompletableFuture<StoreReply> call(StoreCall call) {
    List<StoreTransport> peerTransports = peers.get();
    if (directPathDown && !peerTransports.isEmpty()) {
      return peerTransports
          .get(0)
          .call(call)
          .exceptionallyCompose(failure -> retryThroughSecondPeer(call, peerTransports, failure));
    }
    return callDirect(call)
        .handle((reply, failure) -> retryThroughPeer(call, reply, failure))
        .thenCompose(next -> next);
  }

  /** Makes a call on behalf of a peer; it is never relayed to a further peer. */
  public CompletableFuture<StoreReply> callForPeer(StoreCall call) {
    return callDirect(call);
  }

  private CompletableFuture<StoreReply> retryThroughSecondPeer(
      StoreCall call, List<StoreTransport> peerTransports, Throwable failure) {
    return peerTransports.size() > 1
        ? peerTransports.get(1).call(call)
        : CompletableFuture.failedFuture(failure);
  }

  private CompletableFuture<StoreReply> callDirect(StoreCall call) {
    CompletableFuture<StoreReply> out = new CompletableFuture<>();
    if (call.timeout().compareTo(MAX_SMALL_CALL_TIMEOUT) > 0) {
      sendLarge(call, out);
      return out;
    }
    smallCalls.add(out);
    Callbacks.start(() -> direct.call(call))
        .whenCompleteAsync(
            Callbacks.reported(
                (reply, failure) -> {
                  smallCalls.remove(out);
                  complete(out, reply, failure);
                }),
            loop);
    return out;
  }

  /** Sends a call with a large response, possibly again; only the last sending can fail it. */
  private void sendLarge(StoreCall call, CompletableFuture<StoreReply> out) {
    LargeCall sending = new LargeCall(call, clock.elapsed());
    largeCalls.put(out, sending);
    Callbacks.start(() -> direct.call(call))
        .whenCompleteAsync(
            Callbacks.reported(
                (reply, failure) -> {
                  if (failure == null || largeCalls.get(out) == sending) {
                    largeCalls.remove(out);
                    complete(out, reply, failure);
                  }
                }),
            loop);
  }

  private static void complete(
      CompletableFuture<StoreReply> out, StoreReply reply, Throwable failure) {
    if (failure == null) {
      out.complete(reply);
    } else {
      out.completeExceptionally(failure);
    }
  }

  private CompletableFuture<StoreReply> retryThroughPeer(
      StoreCall call, StoreReply reply, Throwable failure) {
    if (failure == null && !reply.isRejected()) {
      return CompletableFuture.completedFuture(reply);
    }
    verifyDirectPath(failure == null ? "status " + reply.status() : failure.toString());
    List<StoreTransport> peerTransports = peers.get();
    if (!peerTransports.isEmpty()) {
      return peerTransports.get(0).call(call);
    }
    return failure == null
        ? CompletableFuture.completedFuture(reply)
        : CompletableFuture.failedFuture(failure);
  }

  /** Probes several shards, to find out whether a failure affects the direct path as a whole. */
  private void verifyDirectPath(String why) {
    if (directPathDown || verifying || clock.elapsed().compareTo(verifiedUntil) < 0) {
      return;
    }
    verifying = true;
    lastProbeSentAt = clock.elapsed();
    probeAll()
        .whenCompleteAsync(
            Callbacks.reported(
                (reachable, failure) -> {
                  verifying = false;
                  if (reachable) {
                    verifiedUntil = clock.elapsed().plus(PROBE_PERIOD);
                  } else {
                    giveUpDirectPath(why);
                  }
                }),
            loop);
  }

  private void giveUpDirectPath(String why) {
    directPathDown = true;
    EventLog.warn(LogEvent.STORE_PATH_LOST, "why", why, "calls", smallCalls.size());
    // Fails the small calls in flight now, which would otherwise wait for their own timeouts.
    List<CompletableFuture<StoreReply>> waiting = new ArrayList<>(smallCalls);
    waiting.forEach(
        c ->
            c.completeExceptionally(
                new IllegalStateException("direct path to the store given up")));
    cancelNextProbe = loop.after(PROBE_PERIOD, this::probe);
  }

  /**
   * Sends a probe, and the next one after a fixed interval without waiting for the result, so that
   * the end of an outage is noticed within that interval.
   */
  private void probe() {
    Duration previousSentAt = lastProbeSentAt;
    lastProbeSentAt = clock.elapsed();
    probeAll()
        .whenCompleteAsync(
            Callbacks.reported(
                (reachable, failure) -> {
                  if (reachable && directPathDown) {
                    restoreDirectPath(previousSentAt);
                  }
                }),
            loop);
    cancelNextProbe = loop.after(PROBE_PERIOD, this::probe);
  }

  /**
   * Uses the direct path again.
   *
   * @param lostProbeSentAt when the last probe was sent that got no response although a later one
   *     did; large calls sent before it are lost too
   */
  private void restoreDirectPath(Duration lostProbeSentAt) {
    directPathDown = false;
    cancelNextProbe.run();
    List<CompletableFuture<StoreReply>> lost =
        largeCalls.entrySet().stream()
            .filter(e -> e.getValue().sentAt().compareTo(lostProbeSentAt) <= 0)
            .map(Map.Entry::getKey)
            .toList();
    EventLog.info(LogEvent.STORE_PATH_REGAINED, "resent", lost.size());
    lost.forEach(out -> sendLarge(largeCalls.get(out).call(), out));
  }

  /** Returns whether the store answers the probe of any shard. */
  private CompletableFuture<Boolean> probeAll() {
    CompletableFuture<Boolean> reachable = new CompletableFuture<>();
    List<CompletableFuture<Void>> all = new ArrayList<>();
    for (StoreCall probe : probes) {
      all.add(
          Callbacks.start(() -> direct.call(probe))
              .thenAccept(reply -> completeIfServed(reachable, reply))
              .exceptionally(unreachable -> null));
    }
    CompletableFuture.allOf(all.toArray(CompletableFuture[]::new))
        .thenRun(() -> reachable.complete(false));
    return reachable;
  }

  private static void completeIfServed(CompletableFuture<Boolean> reachable, StoreReply reply) {
    if (!reply.isRejected()) {
      reachable.complete(true);
    }
  }
}
