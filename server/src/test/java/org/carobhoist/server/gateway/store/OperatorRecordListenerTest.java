package org.carobhoist.server.gateway.store;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import org.carobhoist.core.account.ApiKey;
import org.carobhoist.core.manifest.Manifest;
import org.carobhoist.core.manifest.ManifestHolder;
import org.carobhoist.core.store.StoredRecord;
import org.junit.jupiter.api.Test;

/** Guards against accounts of an invalid or outdated manifest, or of two versions at once. */
final class OperatorRecordListenerTest {

  private final ManifestHolder manifests = ManifestHolder.create();
  private final OperatorRecordListener listener =
      new OperatorRecordListener(manifests, (model, version) -> {});
  private long offset;

  private void publish(long version, String... accountsAndKeys) {
    StringBuilder accounts = new StringBuilder();
    for (int i = 0; i < accountsAndKeys.length; i += 2) {
      accounts.append(i == 0 ? "" : ",");
      accounts.append("{\"name\":\"" + accountsAndKeys[i] + "\",\"api_keys\":");
      accounts.append("[\"" + accountsAndKeys[i + 1] + "\"]}");
    }
    publishJson(
        "{\"version\":"
            + version
            + ",\"routes\":[],\"services\":[],\"tenants\":["
            + accounts
            + "],\"limits\":{\"max_header_bytes\":1,\"max_body_bytes\":1,"
            + "\"header_timeout_ms\":1,\"idle_timeout_ms\":1}}");
  }

  private void publishJson(String json) {
    listener.onRecord(new StoredRecord(offset++, "config", json.getBytes(StandardCharsets.UTF_8)));
  }

  private String accountOf(String key) {
    Manifest manifest = manifests.current().orElseThrow();
    return manifest
        .accounts()
        .orElseThrow()
        .find(ApiKey.ofText(key))
        .map(a -> a.name().value())
        .orElse("");
  }

  @Test
  void invalidManifestDoesNotReplaceValidOne() {
    publish(4, "hule930", "k1");
    publish(5, "hule930", "k2", "fida11", "k2");
    publish(6, "hule930", "k2", "hule930", "k3");
    publish(7, "hule930", "");
    publish(8, "", "k2");
    publishJson("{\"version\":9,\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[k2]}]}");
    assertThat(manifests.current().orElseThrow().version()).isEqualTo(4);
    assertThat(accountOf("k1")).isEqualTo("hule930");
    assertThat(accountOf("k2")).isEmpty();
  }

  @Test
  void newestOfVersionsInQuickSuccessionApplies() {
    for (int version = 10; version < 60; version++) {
      publish(version, "hule930", "k" + version, "fida11", "k" + (version - 1));
      publish(version - 1, "hule930", "old" + version);
      assertThat(accountOf("k" + version)).isEqualTo("hule930");
      assertThat(accountOf("k" + (version - 1))).isEqualTo("fida11");
      assertThat(accountOf("k" + (version - 2))).isEmpty();
      assertThat(accountOf("old" + version)).isEmpty();
    }
  }

  @Test
  void manifestInUseKeepsItsAccounts() {
    publish(4, "hule930", "k1");
    Manifest inUse = manifests.current().orElseThrow();
    publish(5, "fida11", "k1");
    assertThat(accountOf("k1")).isEqualTo("fida11");
    assertThat(
            inUse.accounts().orElseThrow().find(ApiKey.ofText("k1")).orElseThrow().name().value())
        .isEqualTo("hule930");
  }
}
