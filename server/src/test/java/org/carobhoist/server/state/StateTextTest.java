package org.carobhoist.server.state;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

final class StateTextTest {

  @Test
  void indentsPartsAndListsItems() throws Exception {
    String json =
        "{\"work\":{\"calls\":2,\"ready\":true},\"links\":[{\"peer\":\"a\",\"load\":1},\"b\"],"
            + "\"attempts\":[]}";
    assertThat(StateText.render(new ObjectMapper().readTree(json)))
        .isEqualTo(
            String.join(
                "\n",
                "work:",
                "  calls: 2",
                "  ready: true",
                "links:",
                "  - peer=a load=1",
                "  - b",
                "attempts: none",
                ""));
  }
}
