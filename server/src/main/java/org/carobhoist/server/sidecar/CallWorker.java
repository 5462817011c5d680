package org.carobhoist.server.sidecar;

import com.google.protobuf.ByteString;
import com.linecorp.armeria.common.ResponseHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;
import org.carobhoist.core.limit.AdmissionQueue;
import org.carobhoist.core.limit.AdmissionTicket;
import org.carobhoist.core.request.CallStartFilter;
import org.carobhoist.server.link.CallMapper;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.proto.CallCancel;
import org.carobhoist.server.link.proto.CallStart;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/**
 * Runs calls at the endpoint: queues them for admission, exchanges the HTTP messages and streams
 * the response back to the entry. Calls with an idempotency key are passed to {@link
 * KeyedCallWorker}.
 */
final class CallWorker {

  private static final String END_MARK = "[DONE]";

  /** Length of the stream's tail that is kept to look for the end mark, even across chunks. */
  private static final int TAIL_CHARS = 32;

  private final AdmissionQueue queue;
  private final EndpointClient endpoint;
  private final EndpointKind kind;
  private final Clock clock;
  private final TicketIds ticketIds;
  private final KeyedCallWorker keyedCalls;
  private final Map<Link, CallStartFilter> startFilters = new HashMap<>();
  private final Map<CallId, Call> calls = new HashMap<>();

  private record CallId(Link link, long call) {}

  CallWorker(
      AdmissionQueue queue,
      EndpointClient endpoint,
      EndpointKind kind,
      Clock clock,
      TicketIds ticketIds,
      KeyedCallWorker keyedCalls) {
    this.queue = queue;
    this.endpoint = endpoint;
    this.kind = kind;
    this.clock = clock;
    this.ticketIds = ticketIds;
    this.keyedCalls = keyedCalls;
  }

  /** Called when an entry starts a call. */
  void onStart(Link link, CallStart start) {
    if (!startFilters
        .computeIfAbsent(link, key -> CallStartFilter.create())
        .acceptIfNew(start.getCall())) {
      EventLog.warn(LogEvent.FRAME_DROPPED, "kind", "duplicate CALL_START");
      return;
    }
    if (!start.getIdempotencyKey().isEmpty()) {
      keyedCalls.onStart(link, start);
      return;
    }
    CallId id = new CallId(link, start.getCall());
    Call call = new Call(id, start, ticketIds.next());
    calls.put(id, call);
    Optional<Duration> deadline =
        start.getRemainingMillis() > 0
            ? Optional.of(clock.elapsed().plusMillis(start.getRemainingMillis()))
            : Optional.empty();
    queue.offer(
        new AdmissionTicket(
            call.ticket,
            CallMapper.priority(start.getPriorityValue()),
            start.getProfile(),
            deadline,
            call::run,
            call::refuse));
  }

  /** Called when the entry no longer waits for a call. */
  void onCancel(Link link, CallCancel cancel) {
    Call call = calls.get(new CallId(link, cancel.getCall()));
    if (call != null) {
      call.cancel();
    }
    keyedCalls.onCancel(link, cancel);
  }

  /** Called when a link is lost; cancels its calls. */
  void onLinkDown(Link link) {
    calls.values().stream().filter(c -> c.id.link().equals(link)).toList().forEach(Call::cancel);
    keyedCalls.onLinkDown(link);
    startFilters.remove(link);
  }

  /** Expires idempotency keys and orphaned runs; must be called several times a second. */
  void tick() {
    keyedCalls.tick();
  }

  /** Returns the number of calls that are queued or running. */
  int size() {
    return calls.size() + keyedCalls.size();
  }

  private final class Call implements EndpointSink {

    private final CallId id;
    private final CallStart start;
    private final long ticket;
    private final CallFrameWriter frames;
    private final StringBuilder tail = new StringBuilder();
    private Runnable abort = () -> {};
    private boolean eventStream;

    private Call(CallId id, CallStart start, long ticket) {
      this.id = id;
      this.start = start;
      this.ticket = ticket;
      this.frames = new CallFrameWriter(id.link(), id.call());
    }

    private void run() {
      abort = endpoint.exchange(CallHeaders.of(start), start.getContent().toByteArray(), this);
    }

    private void cancel() {
      if (queue.withdraw(ticket)) {
        calls.remove(id);
        return;
      }
      abort.run();
    }

    private void refuse(Refusal refusal) {
      calls.remove(id);
      frames.sendFailure(refusal);
    }

    @Override
    public void onHead(ResponseHeaders headers) {
      String type = headers.get("content-type", "");
      eventStream = kind == EndpointKind.ENGINE && type.startsWith("text/event-stream");
      frames.sendHead(headers.status().code(), CallFrameWriter.toMessages(headers));
    }

    @Override
    public CompletableFuture<Void> onData(byte[] content) {
      if (eventStream) {
        tail.append(new String(content, StandardCharsets.UTF_8));
        tail.delete(0, Math.max(0, tail.length() - TAIL_CHARS));
      }
      return frames.sendData(ByteString.copyFrom(content));
    }

    @Override
    public void onEnd() {
      if (eventStream && tail.indexOf(END_MARK) < 0) {
        onFailed(
            Refusal.mayHaveRun(
                RefusalReason.ENDPOINT_FAILED, "the engine's stream lacks its end mark"));
        return;
      }
      calls.remove(id);
      frames.sendEnd(queue.running() + queue.queued());
      queue.complete(ticket);
    }

    @Override
    public void onFailed(Refusal refusal) {
      refuse(refusal);
      queue.fail(ticket);
    }
  }
}
