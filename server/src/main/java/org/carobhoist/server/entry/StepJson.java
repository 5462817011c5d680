package org.carobhoist.server.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.rollout.FinishedSample;
import org.carobhoist.core.rollout.GroupCursor;
import org.carobhoist.core.rollout.StepPage;
import org.carobhoist.core.rollout.StepRequest;
import org.carobhoist.server.link.SampleMapper;
import org.carobhoist.trainer.StepPageMessage;
import org.carobhoist.trainer.StepRequestMessage;

/** Converts between the JSON messages of the trainer API and the types of {@code core}. */
final class StepJson {

  static final ObjectMapper MAPPER = new ObjectMapper();

  private StepJson() {}

  /**
   * Converts a message to a request.
   *
   * @throws IllegalArgumentException if the message is malformed
   */
  static StepRequest fromMessage(StepRequestMessage m) {
    if (m == null) {
      throw new IllegalArgumentException("the body is null instead of an object");
    }
    if (m.samplesPerGroup() < 1 || m.maxTokens() < 1 || m.groups() == null) {
      throw new IllegalArgumentException("samplesPerGroup, maxTokens and groups are required");
    }
    return new StepRequest(
        SampleMapper.stepKey(m.profile(), m.trainer(), m.step()),
        new WeightVersion(m.weightVersion()),
        m.samplesPerGroup(),
        m.maxTokens(),
        GroupCursor.parse(m.cursor() == null ? "" : m.cursor()),
        m.groups().stream().map(StepJson::prompt).toList(),
        m.prepare());
  }

  /** Converts a page to a message. */
  static StepPageMessage toMessage(StepPage page) {
    return new StepPageMessage(
        page.key().profile().value(),
        page.key().trainer().value(),
        page.key().step().value(),
        page.cursor().format(),
        page.checkedVersion().number(),
        page.groups().stream()
            .map(g -> new StepPageMessage.Group(g.group(), samples(g.samples())))
            .toList());
  }

  private static StepRequest.GroupPrompt prompt(StepRequestMessage.Group g) {
    if (g == null) {
      throw new IllegalArgumentException("a group is null");
    }
    if (g.group() < 0 || g.group() >= GroupCursor.MAX_GROUPS || g.prompt() == null) {
      throw new IllegalArgumentException(
          "group " + g.group() + " is out of range or has no prompt");
    }
    return new StepRequest.GroupPrompt(g.group(), g.prompt(), Math.max(0, g.expectedTokens()));
  }

  private static List<StepPageMessage.Sample> samples(List<FinishedSample> samples) {
    return samples.stream().map(StepJson::sample).toList();
  }

  private static StepPageMessage.Sample sample(FinishedSample s) {
    return new StepPageMessage.Sample(
        s.attempt().sample().index(),
        s.tokens(),
        s.text(),
        s.finishReason(),
        s.spans().stream()
            .map(v -> new StepPageMessage.Span(v.version().number(), v.from(), v.to()))
            .toList(),
        s.score().isPresent() ? s.score().getAsDouble() : null);
  }
}
