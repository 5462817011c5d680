package org.carobhoist.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.store.StoredRecord;
import org.junit.jupiter.api.Test;

/** Guards against an account that receives a text or a result of another account's job. */
final class AccountReuseTest extends JobCoordinatorFixture {

  private static final Optional<AccountName> ONE = Optional.of(new AccountName("hule930"));
  private static final Optional<AccountName> TWO = Optional.of(new AccountName("fida11"));

  @Test
  void textsAreReusedWithinAnAccountOnly() {
    addEngine("e1", V6);
    activate();
    Job job = submit("j1", ONE, item("i1", 9));
    advance(50);
    coordinator.onReport(report(port.last(), events(0, 4, V6), RunOutcome.RUNNING));
    coordinator.onEnded(job);
    submit("j1", TWO, item("i1", 9));
    advance(50);
    assertThat(port.last().account()).isEqualTo(TWO);
    assertThat(port.last().prefix().eventCount()).isEqualTo(0);
    submit("j1", item("i1", 9));
    advance(50);
    assertThat(port.last().account()).isEqualTo(Optional.empty());
    assertThat(port.last().prefix().eventCount()).isEqualTo(0);
    addEngine("e2", V6);
    submit("j2", ONE, item("i1", 9));
    advance(50);
    assertThat(port.last().account()).isEqualTo(ONE);
    assertThat(port.last().prefix().eventCount()).isEqualTo(4);
  }

  @Test
  void resultsAreReusedWithinAnAccountOnly() {
    minVersion = new WeightVersion(1);
    addEngine("e1", V6);
    activate();
    Job former = submit("j1", item("i1", 9));
    view.shardListener(0).onRecord(new StoredRecord(9, "result/j1/i1", new byte[] {'x'}));
    assertThat(former.resultCount()).isEqualTo(1);
    submit("j1", ONE, item("i1", 9));
    assertThat(port.published).isEmpty();
    submit("j2", item("i1", 9));
    assertThat(port.published).containsExactly("j2 i1 done");
  }

  @Test
  void resumedRunsKeepTheAccount() {
    addEngine("e1", V6);
    activate();
    submit("j1", ONE, item("i1", 9));
    advance(50);
    RunOrder first = port.last();
    coordinator.onReport(report(first, events(0, 4, V6), RunOutcome.RUNNING));
    coordinator.onReport(report(first, TextDelta.NONE, RunOutcome.CANCELLED));
    advance(50);
    assertThat(port.started).hasSize(2);
    assertThat(port.last().account()).isEqualTo(ONE);
    assertThat(port.last().prefix().eventCount()).isEqualTo(4);
    TextCheckpoint checkpoint =
        new TextCheckpoint(new ItemKey(first.job(), first.item().id()), events(0, 5, V6));
    coordinator.deactivate();
    coordinator.activate(2);
    coordinator.onCheckpointsLoaded(List.of(checkpoint));
    advance(400);
    advance(50);
    assertThat(port.last().account()).isEqualTo(ONE);
    assertThat(port.last().prefix().eventCount()).isEqualTo(5);
  }
}
