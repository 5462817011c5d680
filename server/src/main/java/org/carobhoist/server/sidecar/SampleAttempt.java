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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.rollout.AttemptOrder;
import org.carobhoist.core.rollout.FinishedSample;
import org.carobhoist.core.rollout.RunningAttempt;
import org.carobhoist.core.rollout.SampleAssembler;
import org.carobhoist.core.rollout.SampleAssembler.ChunkResult;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.SampleMapper;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/** One attempt at generating a sample: the engine request, and the links to report to. */
final class SampleAttempt implements EndpointSink {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_REPORT_INTERVAL_SECONDS = 8;

  private final AttemptOrder order;
  private final ServiceName model;
  private final EndpointClient engine;
  private final long ticket;
  private final SampleWorker.AttemptCallbacks callbacks;
  private final SampleAssembler assembler;
  private final Set<Link> listeners = new LinkedHashSet<>();
  private final EventStreamParser parser = new EventStreamParser();
  private Runnable abort = () -> {};
  private boolean done;
  private int reportCalls;

  private record PromptMessage(
      String model,
      String prompt,
      @JsonProperty("max_tokens") int maxTokens,
      boolean stream,
      long seed,
      @JsonProperty("resume_tokens") List<Integer> resumeTokens) {}

  SampleAttempt(
      AttemptOrder order,
      ServiceName model,
      EndpointClient engine,
      long ticket,
      SampleWorker.AttemptCallbacks callbacks) {
    this.order = order;
    this.model = model;
    this.engine = engine;
    this.ticket = ticket;
    this.callbacks = callbacks;
    this.assembler = SampleAssembler.create(order.attempt(), order.prefix(), order.swapPolicy());
  }

  AttemptOrder order() {
    return order;
  }

  long ticket() {
    return ticket;
  }

  RunningAttempt progress() {
    return assembler.progress();
  }

  void addListener(Link link) {
    listeners.add(link);
  }

  void removeListener(Link link) {
    listeners.remove(link);
  }

  /** Sends the request to the engine; called on admission. */
  void run() {
    RequestHeaders headers =
        RequestHeaders.of(
            HttpMethod.POST, "/v1/completions", "content-type", MediaType.JSON.toString());
    abort = engine.exchange(headers, body(), this);
  }

  /**
   * Cancels the attempt. With {@code handBack} its tokens are sent to the listeners first, so that
   * another engine can resume from them.
   */
  void cancel(boolean handBack) {
    if (handBack) {
      if (!done) {
        fail("handed back");
      }
      return;
    }
    done = true;
    callbacks.onAbandoned(this);
    abort.run();
  }

  /**
   * Reports progress to the listeners when due; must be called once a second. Reports are sent
   * after 1, 2, 4 and 8 seconds and then every 8 seconds, since a long attempt changes little from
   * one second to the next.
   */
  void report() {
    reportCalls++;
    boolean due =
        reportCalls >= MAX_REPORT_INTERVAL_SECONDS
            ? reportCalls % MAX_REPORT_INTERVAL_SECONDS == 0
            : isPowerOfTwo();
    if (due) {
      reportNow();
    }
  }

  private boolean isPowerOfTwo() {
    return Integer.bitCount(reportCalls) == 1;
  }

  private void reportNow() {
    broadcast(LinkFrame.newBuilder().setSampleProgress(SampleMapper.toMessage(progress())).build());
  }

  /** Sends a frame to every entry that is waiting for this attempt. */
  void broadcast(LinkFrame frame) {
    listeners.forEach(link -> link.send(frame));
  }

  @Override
  public void onHead(ResponseHeaders headers) {
    if (!done && !headers.status().equals(HttpStatus.OK)) {
      fail("engine answered " + headers.status());
    }
  }

  @Override
  public CompletableFuture<Void> onData(byte[] content) {
    for (String event : parser.feed(new String(content, StandardCharsets.UTF_8))) {
      if (done) {
        break;
      }
      onEvent(event);
    }
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public void onEnd() {
    if (done) {
      return;
    }
    Optional<FinishedSample> sample = assembler.finish(parser.sawEndMark());
    if (sample.isEmpty()) {
      fail("stream lacks its end mark or has no tokens");
      return;
    }
    done = true;
    callbacks.onStreamComplete(this, sample.get());
  }

  @Override
  public void onFailed(Refusal refusal) {
    if (!done) {
      fail(refusal.reason() + ": " + refusal.detail());
    }
  }

  private void onEvent(String event) {
    try {
      JsonNode chunk = JSON.readTree(event);
      ChunkResult outcome =
          assembler.add(tokens(chunk), chunk.path("text").asText(), version(chunk));
      if (outcome != ChunkResult.YES) {
        fail(
            outcome == ChunkResult.SWAPPED
                ? "the engine changed weight version"
                : "the engine named no weight version");
        return;
      }
      if (chunk.hasNonNull("finish_reason")) {
        assembler.onFinishReason(chunk.get("finish_reason").asText());
      }
    } catch (JsonProcessingException | IllegalArgumentException e) {
      fail("the engine's chunk can't be understood");
    }
  }

  private static List<Integer> tokens(JsonNode chunk) {
    List<Integer> tokens = new ArrayList<>();
    chunk.path("tokens").forEach(t -> tokens.add(t.asInt()));
    return tokens;
  }

  private static Optional<WeightVersion> version(JsonNode chunk) {
    return chunk.path("weight_version").isIntegralNumber()
        ? Optional.of(new WeightVersion(chunk.get("weight_version").asLong()))
        : Optional.empty();
  }

  private void fail(String cause) {
    done = true;
    EventLog.info(
        LogEvent.SAMPLE_FAILED,
        "step",
        order.attempt().sample().step().step(),
        "group",
        order.attempt().sample().group(),
        "cause",
        cause);
    broadcast(
        LinkFrame.newBuilder()
            .setSampleFailed(
                SampleMapper.toFailedMessage(order.attempt(), cause, assembler.prefix()))
            .build());
    callbacks.onAbandoned(this);
    abort.run();
  }

  private byte[] body() {
    PromptMessage message =
        new PromptMessage(
            model.value(),
            order.prompt(),
            order.maxTokens(),
            true,
            order.attempt().sample().seed(),
            order.prefix().tokens());
    try {
      return JSON.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
