package org.carobhoist.server.gateway.usage;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.usage.UsageCheckpoint;
import org.carobhoist.core.usage.UsageSource;
import org.junit.jupiter.api.Test;

/** Guards against counts or bodies that change when they are stored and read again. */
final class ProtobufUsageCodecTest {

  private final ProtobufUsageCodec codec = new ProtobufUsageCodec();

  @Test
  void checkpointIsReadAsItWasStored() {
    Map<Long, Map<AccountName, Long>> windows =
        Map.of(7L, Map.of(new AccountName("a"), 3L, new AccountName("b"), 4L), 8L, Map.of());
    UsageCheckpoint checkpoint =
        new UsageCheckpoint(
            List.of(new UsageSource(new InstanceId("n-1"), new Incarnation("i-1"), windows)), 6);
    assertThat(codec.decodeCheckpoint(codec.encodeCheckpoint(checkpoint))).isEqualTo(checkpoint);
  }

  @Test
  void decisionKeepsTheExactBody() {
    byte[] body = codec.reportBody(9, Map.of(new AccountName("a"), 3L));
    assertThat(codec.decodeDecision(codec.encodeDecision(9, body))).isEqualTo(body);
  }
}
