package org.carobhoist.server.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/** Formats a state dump as indented text: one value per line, one block per component. */
public final class StateText {

  private static final String INDENT = "  ";

  private final StringBuilder out = new StringBuilder();

  private StateText() {}

  /** Returns the formatted dump. */
  public static String render(JsonNode dump) {
    StateText text = new StateText();
    text.writeFields(dump, "");
    return text.out.toString();
  }

  private void writeFields(JsonNode node, String indent) {
    for (Map.Entry<String, JsonNode> field : node.properties()) {
      out.append(indent).append(field.getKey()).append(':');
      writeValue(field.getValue(), indent);
    }
  }

  private void writeValue(JsonNode value, String indent) {
    if (value.isEmpty() && value.isContainerNode()) {
      out.append(" none\n");
    } else if (value.isObject()) {
      out.append('\n');
      writeFields(value, indent + INDENT);
    } else if (value.isArray()) {
      out.append('\n');
      value.forEach(item -> writeItem(item, indent + INDENT));
    } else {
      out.append(' ').append(value.asText()).append('\n');
    }
  }

  private void writeItem(JsonNode item, String indent) {
    if (!item.isObject()) {
      out.append(indent).append("- ").append(item.asText()).append('\n');
      return;
    }
    out.append(indent).append('-');
    for (Map.Entry<String, JsonNode> field : item.properties()) {
      out.append(' ').append(field.getKey()).append('=').append(field.getValue().asText());
    }
    out.append('\n');
  }
}
