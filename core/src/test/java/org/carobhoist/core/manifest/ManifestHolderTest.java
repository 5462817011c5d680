package org.carobhoist.core.manifest;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class ManifestHolderTest {

  private static final Limits LIMITS =
      new Limits(1, 1, Duration.ofSeconds(1), Duration.ofSeconds(1));

  private final ManifestHolder holder = ManifestHolder.create();

  private static Manifest version(long version) {
    return Manifest.of(version, List.of(), Map.of(), LIMITS);
  }

  @Test
  void ignoresOlderManifest() {
    assertThat(holder.current().isPresent()).isFalse();
    assertThat(holder.offer(version(4))).isTrue();
    assertThat(holder.offer(version(3))).isFalse();
    assertThat(holder.offer(version(4))).isFalse();
    assertThat(holder.current().orElseThrow().version()).isEqualTo(4);
    assertThat(holder.offer(version(9))).isTrue();
    assertThat(holder.current().orElseThrow().version()).isEqualTo(9);
  }
}
