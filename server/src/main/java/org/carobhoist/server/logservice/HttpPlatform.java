package org.carobhoist.server.logservice;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.QueryParams;
import com.linecorp.armeria.common.RequestHeaders;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.membership.ListedInstance;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.runtime.SingleUseConnections;

/**
 * HTTP client of the platform's log and instance list. Responses of the platform bear no request
 * id, so each request has a connection of its own: on a shared one, a late second response would
 * pass for the response to the next request.
 */
public final class HttpPlatform implements PlatformLog, InstanceList {

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);

  /** Maximum size of a response; the records of a batch have to fit into a link frame, too. */
  private static final long MAX_RESPONSE_BYTES = 32L << 20;

  private static final int MAX_PORT = 65_535;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final WebClient client;
  private volatile TaggedList lastList = new TaggedList("none", List.of());

  /** The instance list as last read, with the entity tag (ETag) that identifies its version. */
  private record TaggedList(String tag, List<ListedInstance> instances) {}

  private HttpPlatform(URI url) {
    this.client =
        WebClient.builder("h1c://" + url.getAuthority())
            .factory(SingleUseConnections.factory())
            .maxResponseLength(MAX_RESPONSE_BYTES)
            .build();
  }

  /** Creates a client for the platform at a base URL. */
  public static HttpPlatform at(URI url) {
    return new HttpPlatform(url);
  }

  @Override
  public CompletableFuture<Long> append(byte[] record) {
    HttpRequest request =
        HttpRequest.of(
            HttpMethod.POST, "/log/append", MediaType.OCTET_STREAM, HttpData.wrap(record));
    return call(request, CALL_TIMEOUT).thenApply(json -> json.get("offset").asLong());
  }

  @Override
  public CompletableFuture<LogBatch> read(long from, Duration wait) {
    String path = "/log/records?from=" + from + "&wait=" + wait.toMillis();
    return call(HttpRequest.of(HttpMethod.GET, path), CALL_TIMEOUT.plus(wait))
        .thenApply(HttpPlatform::batch);
  }

  @Override
  public CompletableFuture<List<ListedInstance>> read() {
    RequestHeaders headers =
        RequestHeaders.builder(HttpMethod.GET, "/instances")
            .add(HttpHeaderNames.IF_NONE_MATCH, lastList.tag())
            .build();
    return client
        .execute(HttpRequest.of(headers), timeoutOptions(CALL_TIMEOUT))
        .aggregate()
        .thenApply(this::updateList);
  }

  @Override
  public CompletableFuture<Optional<ListedInstance>> read(InstanceId instance) {
    String path = "/instances?" + QueryParams.of("instance", instance.value()).toQueryString();
    return call(HttpRequest.of(HttpMethod.GET, path), CALL_TIMEOUT)
        .thenApply(json -> instances(json).stream().findFirst());
  }

  private List<ListedInstance> updateList(AggregatedHttpResponse response) {
    if (!response.status().equals(HttpStatus.NOT_MODIFIED)) {
      List<ListedInstance> listed = instances(parse(response));
      lastList = new TaggedList(response.headers().get(HttpHeaderNames.ETAG, "none"), listed);
    }
    return lastList.instances();
  }

  private CompletableFuture<JsonNode> call(HttpRequest request, Duration timeout) {
    return client
        .execute(request, timeoutOptions(timeout))
        .aggregate()
        .thenApply(HttpPlatform::parse);
  }

  /** Returns options with which a call that times out closes its connection. */
  private static RequestOptions timeoutOptions(Duration timeout) {
    return RequestOptions.builder().responseTimeout(timeout).build();
  }

  private static JsonNode parse(AggregatedHttpResponse response) {
    if (!response.status().equals(HttpStatus.OK)) {
      throw new UncheckedIOException(new IOException("platform answered " + response.status()));
    }
    try {
      return JSON.readTree(response.content().array());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static LogBatch batch(JsonNode json) {
    List<LogBatch.StoredRecord> records = new ArrayList<>();
    for (JsonNode r : json.get("records")) {
      long offset = r.get("offset").asLong();
      records.add(new LogBatch.StoredRecord(offset, r.get("timeMillis").asLong(), data(r, offset)));
    }
    return new LogBatch(json.get("first").asLong(), json.get("next").asLong(), records);
  }

  /** Returns the content of a record; empty, which no record is, if it isn't valid base64. */
  private static byte[] data(JsonNode stored, long offset) {
    try {
      return Base64.getDecoder().decode(stored.path("data").asText());
    } catch (IllegalArgumentException e) {
      EventLog.warn(LogEvent.RECORD_SKIPPED, "offset", offset, "why", e.getMessage());
      return new byte[0];
    }
  }

  private static List<ListedInstance> instances(JsonNode json) {
    List<ListedInstance> out = new ArrayList<>();
    for (JsonNode i : json) {
      try {
        out.add(instance(i));
      } catch (IllegalArgumentException e) {
        EventLog.warn(
            LogEvent.RECORD_SKIPPED, "instance", i.path("instance"), "why", e.getMessage());
      }
    }
    return out;
  }

  private static ListedInstance instance(JsonNode json) {
    JsonNode port = json.path("port");
    String host = json.path("host").asText();
    if (host.isEmpty() || !port.isInt() || port.intValue() < 0 || port.intValue() > MAX_PORT) {
      throw new IllegalArgumentException("host and port are not an address");
    }
    return new ListedInstance(
        new InstanceId(json.at("/instance/value").asText()),
        json.path("role").asText(),
        new Zone(json.at("/zone/value").asText()),
        host,
        port.intValue(),
        json.path("leaving").asBoolean(),
        json.path("service").asText());
  }
}
