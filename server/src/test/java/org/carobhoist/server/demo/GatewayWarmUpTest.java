package org.carobhoist.server.demo;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class GatewayWarmUpTest {

  @Test
  void gatewayServesRequestsAndJob() throws Exception {
    assertThat(GatewayWarmUp.run()).isTrue();
  }
}
