package org.carobhoist.server.demo;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class PlatformTrialTest {

  @Test
  void gatewayAnswersEverything() throws Exception {
    assertThat(PlatformTrial.run()).isTrue();
  }
}
