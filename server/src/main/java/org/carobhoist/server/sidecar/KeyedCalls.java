package org.carobhoist.server.sidecar;

import com.google.protobuf.ByteString;
import com.linecorp.armeria.common.ResponseHeaders;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
final class KeyedCalls {

  private static final Duration ORPHAN_TIME = Duration.ofSeconds(30);
  private static final int MAX_KEPT_BYTES = 1024 * 1024;

  private final KeyGate<KeyedAnswer> gate;
  private final DuplicateTable<KeyedAnswer> table;
  private final AdmissionQueue queue;
  private final EndpointClient endpoint;
  private final Clock clock;
  private final TicketIds tickets;
  private final Map<CallId, Receiver> receivers = new HashMap<>();
  private final Map<RequestKey, Run> runs = new HashMap<>();

  private record CallId(Link link, long call) {}

  KeyedCalls(
      KeyGate<KeyedAnswer> gate,
      DuplicateTable<KeyedAnswer> table,
      AdmissionQueue queue,
      EndpointClient endpoint,
      Clock clock,
      TicketIds tickets) {
    this.gate = gate;
    this.table = table;
    this.queue = queue;
    this.endpoint = endpoint;
    this.clock = clock;
    this.tickets = tickets;
  }

  /** Called when an entry starts a call with an idempotency key. */
  void onStart(Link link, CallStart start) {
    CallId id = new CallId(link, start.getCall());
    RequestKey key;
    try {
      key = RequestKey.parse(start.getIdempotencyKey());
    } catch (IllegalArgumentException e) {
      new CallFrames(link, start.getCall())
          .failed(Refusal.notRun(RefusalReason.BAD_KEY, e.getMessage()));
      return;
    }
    Receiver receiver = new Receiver(id, key);
    receivers.put(id, receiver);
    byte[] content = start.getContent().toByteArray();
    Fingerprint print = Fingerprint.of(start.getMethod(), start.getPath(), content);
    if (gate.submit(key, print, receiver)) {
      run(key, receiver, start);
    } else if (runs.containsKey(key)) {
      runs.get(key).orphanedAt = Optional.empty();
    }
  }

  /** Called when the entry no longer waits for a call. */
  void onCancel(Link link, CallCancel cancel) {
    Receiver receiver = receivers.get(new CallId(link, cancel.getCall()));
    if (receiver != null) {
      leave(receiver);
    }
  }

  /** Called when a link is lost; detaches its calls from their runs. */
  void onLinkDown(Link link) {
    receivers.values().stream().filter(r -> r.id.link().equals(link)).toList().forEach(this::leave);
  }

  /** Aborts runs that have been without a caller for too long, and expires old outcomes. */
  void tick() {
    Duration latest = clock.elapsed().minus(ORPHAN_TIME);
    runs.values().stream()
        .filter(r -> r.orphanedAt.filter(at -> at.compareTo(latest) <= 0).isPresent())
        .toList()
        .forEach(r -> r.abort.run());
    table.expire();
  }

  /** Returns the number of runs that are queued or running. */
  int size() {
    return runs.size();
  }

  private void run(RequestKey key, Receiver receiver, CallStart start) {
    Run run = new Run(key, receiver, start, tickets.next());
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

  private void leave(Receiver receiver) {
    receivers.remove(receiver.id);
    receiver.gone = true;
    Run run = runs.get(receiver.key);
    if (!table.leave(receiver.key, receiver) || run == null) {
      return;
    }
    if (queue.withdraw(run.ticket)) {
      run.refuse(Refusal.notRun(RefusalReason.CANCELLED, "the caller has gone away"));
      return;
    }
    run.orphanedAt = Optional.of(clock.elapsed());
  }

  /** A call of an entry that waits for the outcome of a key. */
  private final class Receiver implements Waiter<KeyedAnswer> {

    private final CallId id;
    private final RequestKey key;
    private final CallFrames frames;
    private boolean live;
    private boolean gone;

    private Receiver(CallId id, RequestKey key) {
      this.id = id;
      this.key = key;
      this.frames = new CallFrames(id.link(), id.call());
    }

    @Override
    public void onAnswer(KeyedAnswer answer) {
      receivers.remove(id);
      if (!live) {
        frames.head(answer.status(), answer.headers());
        if (!answer.content().isEmpty()) {
          frames.data(answer.content());
        }
      }
      frames.end(queue.running() + queue.queued());
    }

    @Override
    public void onRefused(Refusal refusal) {
      receivers.remove(id);
      frames.failed(refusal);
    }
  }

  /** The request to the endpoint for a key; there is at most one for each key. */
  private final class Run implements EndpointSink {

    private final RequestKey key;
    private final Receiver first;
    private final CallStart start;
    private final long ticket;
    private Optional<Duration> orphanedAt = Optional.empty();
    private Runnable abort = () -> {};
    private int status;
    private List<Header> headers = List.of();
    private ByteString content = ByteString.EMPTY;
    private boolean tooLarge;

    private Run(RequestKey key, Receiver first, CallStart start, long ticket) {
      this.key = key;
      this.first = first;
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
      headers = CallFrames.headers(head);
      if (!first.gone) {
        first.live = true;
        first.frames.head(status, headers);
      }
    }

    @Override
    public void onData(byte[] part) {
      ByteString bytes = ByteString.copyFrom(part);
      if (!first.gone) {
        first.frames.data(bytes);
      }
      tooLarge |= content.size() + bytes.size() > MAX_KEPT_BYTES;
      content = tooLarge ? ByteString.EMPTY : content.concat(bytes);
    }

    @Override
    public void onEnd() {
      runs.remove(key);
      if (tooLarge) {
        endTooLarge();
      } else {
        table.finish(key, new KeyedAnswer(status, headers, content));
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
     * complete response; every other caller is refused.
     */
    private void endTooLarge() {
      if (!first.gone) {
        table.leave(key, first);
        receivers.remove(first.id);
        first.frames.end(queue.running() + queue.queued());
      }
      table.fail(
          key,
          Refusal.mayHaveRun(
              RefusalReason.KEY_FORGOTTEN,
              "the request ran, but its answer was too large to keep"));
    }
  }
}
