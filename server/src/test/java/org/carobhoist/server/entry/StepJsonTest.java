package org.carobhoist.server.entry;

import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.carobhoist.trainer.StepRequestMessage;
import org.junit.jupiter.api.Test;

final class StepJsonTest {

  @Test
  void nullInPlaceOfRequestOrGroupIsReportedAsMalformed() throws JsonProcessingException {
    for (String body :
        new String[] {
          "null",
          "{\"profile\":\"p\",\"trainer\":\"t\",\"step\":\"s\",\"samplesPerGroup\":1,"
              + "\"maxTokens\":1,\"groups\":[null]}"
        }) {
      StepRequestMessage message = StepJson.MAPPER.readValue(body, StepRequestMessage.class);
      assertThrows(IllegalArgumentException.class, () -> StepJson.fromMessage(message), body);
    }
  }
}
