package org.carobhoist.server.sidecar;

import com.google.protobuf.ByteString;
import com.linecorp.armeria.common.ResponseHeaders;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;
import org.carobhoist.core.idempotency.DuplicateTable;
import org.carobhoist.core.idempotency.Fingerprint;
import org.carobhoist.core.idempotency.KeyGate;
import org.carobhoist.core.idempotency.RequestKey;
import org.carobhoist.core.idempotency.Waiter;
import org.carobhoist.core.limit.AdmissionQueue;
import org.carobhoist.core.limit.AdmissionTicket;
import org.carobhoist.server.link.CallMapper;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.proto.CallCancel;
import org.carobhoist.server.link.proto.CallStart;
import org.carobhoist.server.link.proto.Header;

/**
 * Runs non-idempotent calls at the endpoint, at most once for each idempotency key. The caller that
 * started the run gets the response as it arrives; callers that join later get it when it is
 * complete. Once admitted, a run continues for a limited time after its last caller has gone, so
 * that a resend can still join it.
 */
final class KeyedCallWorker {

  private static final Duration ORPHAN_TIMEOUT = Duration.ofSeconds(30);
  private static final int MAX_CACHED_BYTES = 1024 * 1024;

  private final KeyGate<CachedResponse> gate;
  private final DuplicateTable<CachedResponse> table;
  private final AdmissionQueue queue;
  private final EndpointClient endpoint;
  private final Clock clock;
  private final TicketIds ticketIds;
  private final Map<CallId, CallWaiter> waiters = new HashMap<>();
  private final Map<RequestKey, Run> runs = new HashMap<>();

  private record CallId(Link link, long call) {}

  KeyedCallWorker(
      KeyGate<CachedResponse> gate,
      DuplicateTable<CachedResponse> table,
      AdmissionQueue queue,
      EndpointClient endpoint,
      Clock clock,
      TicketIds ticketIds) {
    this.gate = gate;
    this.table = table;
    this.queue = queue;
    this.endpoint = endpoint;
    this.clock = clock;
    this.ticketIds = ticketIds;
  }

  /** Called when an entry starts a call with an idempotency key. */
  void onStart(Link link, CallStart start) {
    CallId id = new CallId(link, start.getCall());
    RequestKey key;
    try {
      key = RequestKey.parse(start.getIdempotencyKey());
    } catch (IllegalArgumentException e) {
      new CallFrameWriter(link, start.getCall())
          .sendFailure(Refusal.notRun(RefusalReason.BAD_KEY, e.getMessage()));
      return;
    }
    CallWaiter waiter = new CallWaiter(id, key);
    waiters.put(id, waiter);
    byte[] content = start.getContent().toByteArray();
    Fingerprint fingerprint = Fingerprint.of(start.getMethod(), start.getPath(), content);
    if (gate.submit(key, fingerprint, waiter)) {
      run(key, waiter, start);
    } else if (runs.containsKey(key)) {
      runs.get(key).orphanedAt = Optional.empty();
    }
  }

  /** Called when the entry no longer waits for a call. */
  void onCancel(Link link, CallCancel cancel) {
    CallWaiter waiter = waiters.get(new CallId(link, cancel.getCall()));
    if (waiter != null) {
      detach(waiter);
    }
  }

  /** Called when a link is lost; detaches its calls from their runs. */
  void onLinkDown(Link link) {
    waiters.values().stream().filter(r -> r.id.link().equals(link)).toList().forEach(this::detach);
  }

  /** Aborts runs that have been without a caller for too long, and expires old outcomes. */
  void tick() {
    Duration orphanedBefore = clock.elapsed().minus(ORPHAN_TIMEOUT);
    runs.values().stream()
        .filter(r -> r.orphanedAt.filter(at -> at.compareTo(orphanedBefore) <= 0).isPresent())
        .toList()
        .forEach(r -> r.abort.run());
    table.expire();
  }

  /** Returns the number of runs that are queued or running. */
  int size() {
    return runs.size();
  }

  private void run(RequestKey key, CallWaiter waiter, CallStart start) {
    Run run = new Run(key, waiter, start, ticketIds.next());
    runs.put(key, run);
    Optional<Duration> deadline =
        start.getRemainingMillis() > 0
            ? Optional.of(clock.elapsed().plusMillis(start.getRemainingMillis()))
            : Optional.empty();
    queue.offer(
        new AdmissionTicket(
            run.ticket,
            CallMapper.priority(start.getPriorityValue()),
            start.getProfile(),
            deadline,
            run::begin,
            run::refuse));
  }

  private void detach(CallWaiter waiter) {
    waiters.remove(waiter.id);
    waiter.detached = true;
    Run run = runs.get(waiter.key);
    if (!table.removeWaiter(waiter.key, waiter) || run == null) {
      return;
    }
    if (queue.withdraw(run.ticket)) {
      run.refuse(Refusal.notRun(RefusalReason.CANCELLED, "the caller has gone away"));
      return;
    }
    run.orphanedAt = Optional.of(clock.elapsed());
  }

  /** A call of an entry that waits for the outcome of a key. */
  private final class CallWaiter implements Waiter<CachedResponse> {

    private final CallId id;
    private final RequestKey key;
    private final CallFrameWriter frames;
    private boolean streaming;
    private boolean detached;

    private CallWaiter(CallId id, RequestKey key) {
      this.id = id;
      this.key = key;
      this.frames = new CallFrameWriter(id.link(), id.call());
    }

    @Override
    public void onAnswer(CachedResponse response) {
      waiters.remove(id);
      if (!streaming) {
        frames.sendHead(response.status(), response.headers());
        if (!response.content().isEmpty()) {
          frames.sendData(response.content());
        }
      }
      frames.sendEnd(queue.running() + queue.queued());
    }

    @Override
    public void onRefused(Refusal refusal) {
      waiters.remove(id);
      frames.sendFailure(refusal);
    }
  }

  /** The request to the endpoint for a key; there is at most one for each key. */
  private final class Run implements EndpointSink {

    private final RequestKey key;
    private final CallWaiter initiator;
    private final CallStart start;
    private final long ticket;
    private Optional<Duration> orphanedAt = Optional.empty();
    private Runnable abort = () -> {};
    private int status;
    private List<Header> headers = List.of();
    private ByteString content = ByteString.EMPTY;
    private boolean tooLarge;

    private Run(RequestKey key, CallWaiter initiator, CallStart start, long ticket) {
      this.key = key;
      this.initiator = initiator;
      this.start = start;
      this.ticket = ticket;
    }

    private void begin() {
      abort = endpoint.exchange(CallHeaders.of(start), start.getContent().toByteArray(), this);
    }

    private void refuse(Refusal refusal) {
      runs.remove(key);
      table.fail(key, refusal);
    }

    @Override
    public void onHead(ResponseHeaders head) {
      status = head.status().code();
      headers = CallFrameWriter.toMessages(head);
      if (!initiator.detached) {
        initiator.streaming = true;
        initiator.frames.sendHead(status, headers);
      }
    }

    @Override
    public CompletableFuture<Void> onData(byte[] part) {
      ByteString bytes = ByteString.copyFrom(part);
      tooLarge |= content.size() + bytes.size() > MAX_CACHED_BYTES;
      content = tooLarge ? ByteString.EMPTY : content.concat(bytes);
      return initiator.detached
          ? CompletableFuture.completedFuture(null)
          : initiator.frames.sendData(bytes);
    }

    @Override
    public void onEnd() {
      runs.remove(key);
      if (tooLarge) {
        finishUncacheable();
      } else {
        table.finish(key, new CachedResponse(status, headers, content));
      }
      queue.complete(ticket);
    }

    @Override
    public void onFailed(Refusal refusal) {
      refuse(refusal);
      queue.fail(ticket);
    }

    /**
     * Ends a run whose response is too large to cache. The caller that started it has received the
     * complete response if it is still connected; every other caller is refused.
     */
    private void finishUncacheable() {
      if (!initiator.detached) {
        table.removeWaiter(key, initiator);
        waiters.remove(initiator.id);
        initiator.frames.sendEnd(queue.running() + queue.queued());
      }
      table.fail(
          key,
          Refusal.mayHaveRun(
              RefusalReason.KEY_FORGOTTEN,
              "the request ran, but its answer was too large to keep"));
    }
  }
}
