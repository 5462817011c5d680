package org.carobhoist.server.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Set;
import org.carobhoist.core.routing.PromptPrefix;

/** Extracts the prompt prefix of completion requests, which the router uses. */
final class PromptReader {

  private static final Set<String> COMPLETION_PATHS =
      Set.of("/v1/completions", "/v1/chat/completions");

  private PromptReader() {}

  /** Returns the prompt prefix; {@code NONE} for other requests and if the body isn't JSON. */
  static PromptPrefix prefix(CallRequest request) {
    if (!COMPLETION_PATHS.contains(request.path())) {
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
