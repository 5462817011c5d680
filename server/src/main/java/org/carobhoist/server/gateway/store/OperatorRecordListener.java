package org.carobhoist.server.gateway.store;

import java.util.Optional;
import java.util.function.BiConsumer;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.manifest.Manifest;
import org.carobhoist.core.manifest.ManifestHolder;
import org.carobhoist.core.store.Snapshot;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.core.store.TailListener;
import org.carobhoist.platform.ManifestDecoder;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/** Handles the manifests that operators write and the weight versions that trainers set. */
public final class OperatorRecordListener implements TailListener {

  private final ManifestHolder manifests;
  private final BiConsumer<String, WeightVersion> versionListener;

  /** Creates a listener of the records that operators and trainers write. */
  public OperatorRecordListener(
      ManifestHolder manifests, BiConsumer<String, WeightVersion> versionListener) {
    this.manifests = manifests;
    this.versionListener = versionListener;
  }

  @Override
  public void onSnapshot(Snapshot snapshot) {
    snapshot.forEach(snapshot.records(), this::onRecord);
  }

  @Override
  public void onRecord(StoredRecord stored) {
    if (stored.isTombstone()) {
      return;
    }
    try {
      if (stored.key().equals(ManifestDecoder.MANIFEST_KEY)) {
        onManifest(ManifestDecoder.manifest(stored.value()), stored.offset());
        return;
      }
      Optional<String> model = ManifestDecoder.modelOf(stored.key());
      if (model.isPresent()) {
        WeightVersion version = ManifestDecoder.publishedVersion(stored.value());
        EventLog.info(
            LogEvent.VERSION_NAMED,
            "model",
            model.get(),
            "version",
            version,
            "offset",
            stored.offset());
        versionListener.accept(model.get(), version);
      }
    } catch (IllegalArgumentException e) {
      EventLog.warn(
          LogEvent.RECORD_SKIPPED,
          "key",
          stored.key(),
          "offset",
          stored.offset(),
          "why",
          e.getMessage());
    }
  }

  private void onManifest(Manifest manifest, long offset) {
    if (manifests.offer(manifest)) {
      EventLog.info(LogEvent.MANIFEST_IN_FORCE, "version", manifest.version(), "offset", offset);
    }
  }
}
