package org.carobhoist.server.sidecar;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobhoist.core.common.Priority;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.limit.AdmissionQueue;
import org.carobhoist.core.limit.AdmissionTicket;
import org.carobhoist.core.rollout.AttemptKey;
import org.carobhoist.core.rollout.FinishedSample;
import org.carobhoist.core.rollout.GroupCursor;
import org.carobhoist.core.rollout.SampleAssembler;
import org.carobhoist.core.rollout.SampleStore;
import org.carobhoist.core.rollout.StepKey;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.SampleMapper;
import org.carobhoist.server.link.proto.HeldQuery;
import org.carobhoist.server.link.proto.HeldReply;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.link.proto.SampleCancel;
import org.carobhoist.server.link.proto.SampleFailed;
import org.carobhoist.server.link.proto.SampleStart;
import org.carobhoist.server.link.proto.StepAck;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/** Makes samples at the engine and keeps them until their trainer holds them. */
final class SampleWorker {

  private final AdmissionQueue queue;
  private final EndpointClient engine;
  private final ServiceName model;
  private final TicketIds tickets;
  private final SampleStore store = SampleStore.create();
  private final Map<AttemptKey, Attempt> attempts = new HashMap<>();
  private final ObjectMapper json = new ObjectMapper();

  private record PromptMessage(
      String model,
      String prompt,
      @JsonProperty("max_tokens") int maxTokens,
      boolean stream,
      long seed) {}

  SampleWorker(AdmissionQueue queue, EndpointClient engine, ServiceName model, TicketIds tickets) {
    this.queue = queue;
    this.engine = engine;
    this.model = model;
    this.tickets = tickets;
  }

  /** Takes an order to make a sample; a repeated one changes nothing but whom to tell. */
  void onStart(Link link, SampleStart start) {
    AttemptKey key = SampleMapper.fromMessage(start.getName());
    if (!store.begin(key)) {
      return;
    }
    Attempt attempt = new Attempt(key, start, link, tickets.next());
    attempts.put(key, attempt);
    queue.offer(
        new AdmissionTicket(
            attempt.ticket,
            Priority.ROLLOUT,
            key.sample().step().trainer().value(),
            Optional.empty(),
            attempt::run,
            attempt::onFailed));
  }

  /** Takes the word that an attempt is no longer wanted. */
  void onCancel(SampleCancel cancel) {
    Attempt attempt = attempts.get(SampleMapper.fromMessage(cancel.getName()));
    if (attempt != null) {
      attempt.cancel();
    }
  }

  /** Answers what is held of a step; the asker is told of its attempts from now on. */
  void onQuery(Link link, HeldQuery query) {
    StepKey step = SampleMapper.step(query.getProfile(), query.getTrainer(), query.getStep());
    HeldReply.Builder reply = HeldReply.newBuilder().setQuery(query.getQuery());
    store.finished(step).forEach(s -> reply.addFinished(SampleMapper.toMessage(s)));
    for (AttemptKey key : store.running(step)) {
      reply.addRunning(SampleMapper.toMessage(key));
      attempts.get(key).listeners.add(link);
    }
    link.send(LinkFrame.newBuilder().setHeldReply(reply).build());
  }

  /** Forgets what the trainer holds. */
  void onAck(StepAck ack) {
    StepKey step = SampleMapper.step(ack.getProfile(), ack.getTrainer(), ack.getStep());
    if (ack.getFinished()) {
      store.forget(step);
      return;
    }
    store.acknowledge(step, GroupCursor.parse(ack.getCursor().toStringUtf8()));
  }

  /** Returns the number of attempts and samples held. */
  int held() {
    return store.size();
  }

  private final class Attempt implements EndpointSink {

    private final AttemptKey key;
    private final SampleStart start;
    private final List<Link> listeners = new ArrayList<>();
    private final long ticket;
    private final SampleAssembler assembler;
    private final EventStreamParser parser = new EventStreamParser();
    private Runnable abort = () -> {};
    private String finishReason = "";
    private boolean done;

    private Attempt(AttemptKey key, SampleStart start, Link link, long ticket) {
      this.key = key;
      this.start = start;
      this.ticket = ticket;
      this.assembler = SampleAssembler.create(key);
      listeners.add(link);
    }

    private void run() {
      RequestHeaders headers =
          RequestHeaders.of(
              HttpMethod.POST, "/v1/completions", "content-type", MediaType.JSON.toString());
      abort = engine.exchange(headers, body(), this);
    }

    private byte[] body() {
      PromptMessage message =
          new PromptMessage(
              model.value(), start.getPrompt(), start.getMaxTokens(), true, start.getSeed());
      try {
        return json.writeValueAsBytes(message);
      } catch (JsonProcessingException e) {
        throw new IllegalStateException(e);
      }
    }

    private void cancel() {
      if (queue.withdraw(ticket)) {
        end();
        return;
      }
      abort.run();
    }

    @Override
    public void onHead(ResponseHeaders headers) {
      if (!headers.status().equals(HttpStatus.OK)) {
        giveUp("engine answered " + headers.status());
      }
    }

    @Override
    public void onData(byte[] content) {
      for (String event : parser.feed(new String(content, StandardCharsets.UTF_8))) {
        if (done) {
          return;
        }
        onEvent(event);
      }
    }

    @Override
    public void onEnd() {
      if (done) {
        return;
      }
      if (!parser.sawEndMark() || finishReason.isEmpty()) {
        onFailed(Refusal.mayHaveRun(RefusalReason.ENDPOINT_FAILED, "stream lacks its end mark"));
        return;
      }
      FinishedSample sample = assembler.finish(finishReason);
      end();
      store.finish(sample);
      LinkFrame frame =
          LinkFrame.newBuilder().setSampleDone(SampleMapper.toMessage(sample)).build();
      listeners.forEach(link -> link.send(frame));
      queue.complete(ticket);
    }

    @Override
    public void onFailed(Refusal refusal) {
      if (done) {
        return;
      }
      end();
      EventLog.info(
          LogEvent.SAMPLE_FAILED,
          "step",
          key.sample().step().step(),
          "group",
          key.sample().group(),
          "cause",
          refusal.detail());
      SampleFailed failed =
          SampleFailed.newBuilder()
              .setName(SampleMapper.toMessage(key))
              .setReason(refusal.detail())
              .build();
      LinkFrame frame = LinkFrame.newBuilder().setSampleFailed(failed).build();
      listeners.forEach(link -> link.send(frame));
      queue.complete(ticket);
    }

    private void onEvent(String event) {
      try {
        JsonNode chunk = json.readTree(event);
        List<Integer> tokens = new ArrayList<>();
        chunk.path("tokens").forEach(t -> tokens.add(t.asInt()));
        Optional<WeightVersion> version =
            chunk.hasNonNull("weight_version")
                ? Optional.of(new WeightVersion(chunk.get("weight_version").asLong()))
                : Optional.empty();
        if (!assembler.add(tokens, chunk.path("text").asText(), version)) {
          giveUp("the engine named no weight version");
          return;
        }
        finishReason = chunk.path("finish_reason").asText(finishReason);
      } catch (JsonProcessingException e) {
        giveUp("the engine's chunk is not JSON");
      }
    }

    private void giveUp(String cause) {
      onFailed(Refusal.mayHaveRun(RefusalReason.ENDPOINT_FAILED, cause));
      abort.run();
    }

    private void end() {
      done = true;
      attempts.remove(key);
      store.drop(key);
    }
  }
}
