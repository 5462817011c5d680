package org.carobhoist.server.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Set;
import org.carobhoist.core.routing.PromptPrefix;

/** Reads the prompt of a completion request, by which it is routed. */
final class PromptReader {

  private static final Set<String> COMPLETIONS = Set.of("/v1/completions", "/v1/chat/completions");

  private PromptReader() {}

  /** Returns the prefix of a completion's prompt; a request of another kind has none. */
  static PromptPrefix prefix(CallRequest request) {
    if (!COMPLETIONS.contains(request.path())) {
      return PromptPrefix.NONE;
    }
    try {
      return prefix(StepJson.MAPPER.readTree(request.http().content().array()));
    } catch (IOException e) {
      return PromptPrefix.NONE;
    }
  }

  private static PromptPrefix prefix(JsonNode body) {
    StringBuilder text = new StringBuilder(body.path("prompt").asText(""));
    for (JsonNode message : body.path("messages")) {
      text.append(message.path("role").asText()).append('\n');
      text.append(message.path("content").asText()).append('\n');
    }
    return PromptPrefix.of(text.toString());
  }
}
