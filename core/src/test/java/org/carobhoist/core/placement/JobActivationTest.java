package org.carobhoist.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.store.StoredRecord;
import org.junit.jupiter.api.Test;

/** A process that becomes coordinator places what it can, whatever it has read of the jobs. */
final class JobActivationTest extends JobCoordinatorFixture {

  private void read(String key, byte[] value) {
    view.shardListener(0).onRecord(new StoredRecord(7, key, value));
  }

  /** Guards against a coordinator that places nothing because a job was read in part. */
  @Test
  void jobThatIsReadInPartDoesNotKeepOthersFromBeingPlaced() {
    addEngine("e1", V6);
    submit("j1", item("i1", 9));
    heads.put(new JobId("j2"), headOf("j2", 1));
    read("part/j2/0/2", new byte[] {1});
    activate();
    advance(50);
    assertThat(port.started).hasSize(1);
    items = List.of(item("i2", 9));
    read("part/j2/1/2", new byte[] {1});
    coordinator.onAccepted(view.job(new JobId("j2")).orElseThrow());
    advance(50);
    assertThat(port.started).hasSize(2);
  }

  /**
   * Guards against an item that neither runs nor has a result, since the former one is unusable.
   */
  @Test
  void itemRunsIfResultOfFormerJobCannotBeUsed() {
    minVersion = new WeightVersion(1);
    addEngine("e1", V6);
    activate();
    Job former = submit("j1", item("i1", 9));
    read("result/j1/i1", new byte[] {'x'});
    coordinator.onResultPublished(former, former.resultsFrom(0).get(0));
    port.reusesResults = false;
    Job later = submit("j2", item("i1", 9));
    advance(50);
    assertThat(port.started).isEmpty();
    coordinator.onReuseFailed(later.id(), new ItemId("i1"));
    advance(50);
    assertThat(port.started).hasSize(1);
  }

  /** Guards against a coordinator that places nothing because a job can't be decoded. */
  @Test
  void jobThatCannotBeDecodedDoesNotKeepOthersFromBeingPlaced() {
    addEngine("e1", V6);
    heads.put(new JobId("j0"), headOf("j0", 1));
    read("job/j0", UNDECODABLE);
    submit("j1", item("i1", 9));
    Thread.currentThread().setUncaughtExceptionHandler((thread, failure) -> {});
    activate();
    Thread.currentThread().setUncaughtExceptionHandler(null);
    advance(50);
    assertThat(port.started).hasSize(1);
  }
}
