package org.carobhoist.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

final class AnnouncementPacerTest {

  private static final int LINKS = 16;
  private static final int ANNOUNCEMENT_BYTES = 70;
  private static final int BUDGET_BYTES_PER_SECOND = 2_048;

  private final ManualClock clock = new ManualClock();
  private final AnnouncementPacer pacer = AnnouncementPacer.create(clock);

  @Test
  void announcesPhaseChangeImmediately() {
    send(announcement(EndpointPhase.SERVING, 3));
    assertThat(pacer.isDue(announcement(EndpointPhase.DRAINING, 3), LINKS)).isTrue();
  }

  @Test
  void suppressesSmallLoadChanges() {
    send(announcement(EndpointPhase.SERVING, 3));
    clock.advance(Duration.ofMinutes(1));
    assertThat(pacer.isDue(announcement(EndpointPhase.SERVING, 4), LINKS)).isFalse();
    assertThat(pacer.isDue(announcement(EndpointPhase.SERVING, 30), LINKS)).isTrue();
  }

  @Test
  void staysWithinBudgetWhileLoadOscillates() {
    int sent = 0;
    for (int i = 0; i < 600; i++) {
      clock.advance(Duration.ofMillis(100));
      EndpointAnnouncement a = announcement(EndpointPhase.SERVING, i % 2 * 30);
      if (pacer.isDue(a, LINKS)) {
        send(a);
        sent++;
      }
    }
    int bytesPerSecond = sent * LINKS * ANNOUNCEMENT_BYTES / 60;
    assertThat(bytesPerSecond).isLessThan(BUDGET_BYTES_PER_SECOND);
  }

  private void send(EndpointAnnouncement a) {
    pacer.onSent(a);
  }

  private static EndpointAnnouncement announcement(EndpointPhase phase, int load) {
    return new EndpointAnnouncement(
        new InstanceId("engine-1"),
        new Incarnation("1"),
        new Zone("centro-a"),
        new ServiceName("horno-lm"),
        EndpointKind.ENGINE,
        phase,
        load,
        0,
        32,
        new WeightVersion(1),
        1);
  }
}
