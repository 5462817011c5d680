package org.carobhoist.core.profile;

import static com.google.common.truth.Truth.assertThat;

import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.profile.FoldOutcome.Status;
import org.carobhoist.core.profile.ProfileChange.Kind;
import org.junit.jupiter.api.Test;

final class ProfileFoldTest {

  private static final ProfileName NAME = new ProfileName("horno");
  private static final String DOCUMENT = "[profile]\nservice = horno-lm\nkind = engine\n";

  private final ProfileFold fold = ProfileFold.create();

  @Test
  void conflictReportsBothRevisionsAndTheWinner() {
    fold.apply(1, change("a", Kind.PUBLISH, 0, DOCUMENT));
    fold.apply(2, change("b", Kind.CHANGE, 1, DOCUMENT));
    FoldOutcome rejected = fold.apply(3, change("c", Kind.CHANGE, 1, DOCUMENT));
    assertThat(rejected.status()).isEqualTo(Status.CONFLICT);
    assertThat(rejected.base()).isEqualTo(new Revision(1));
    assertThat(rejected.current()).isEqualTo(new Revision(2));
    assertThat(rejected.winner()).isEqualTo("b");
    assertThat(rejected.winnerOperator()).isEqualTo("op-b");
  }

  @Test
  void acceptsRepeatedAppendsOnce() {
    ProfileChange change = change("a", Kind.PUBLISH, 0, DOCUMENT);
    assertThat(fold.apply(1, change).status()).isEqualTo(Status.ACCEPTED);
    assertThat(fold.apply(2, change).status()).isEqualTo(Status.REPEATED);
    assertThat(fold.revision()).isEqualTo(new Revision(1));
    assertThat(fold.appliedOffset()).isEqualTo(2);
  }

  @Test
  void ignoresAppliedOffsets() {
    fold.apply(5, change("a", Kind.PUBLISH, 0, DOCUMENT));
    FoldOutcome outcome = fold.apply(4, change("b", Kind.CHANGE, 5, DOCUMENT));
    assertThat(outcome.status()).isEqualTo(Status.REPEATED);
    assertThat(fold.appliedOffset()).isEqualTo(5);
  }

  @Test
  void invalidDocumentsHaveNoEffect() {
    fold.apply(1, change("a", Kind.PUBLISH, 0, DOCUMENT));
    FoldOutcome outcome = fold.apply(2, change("b", Kind.CHANGE, 1, "[profile]\nkind = horse\n"));
    assertThat(outcome.status()).isEqualTo(Status.INVALID);
    assertThat(fold.revision()).isEqualTo(new Revision(1));
    assertThat(fold.apply(3, change("c", Kind.CHANGE, 1, DOCUMENT)).status())
        .isEqualTo(Status.ACCEPTED);
  }

  @Test
  void refusesKindsOfChangesInvalidForTheState() {
    assertThat(fold.apply(1, change("a", Kind.CHANGE, 0, DOCUMENT)).status())
        .isEqualTo(Status.INVALID);
    assertThat(fold.apply(2, change("b", Kind.RETIRE, 0, "")).status()).isEqualTo(Status.INVALID);
    fold.apply(3, change("c", Kind.PUBLISH, 0, DOCUMENT));
    assertThat(fold.apply(4, change("d", Kind.PUBLISH, 3, DOCUMENT)).status())
        .isEqualTo(Status.INVALID);
  }

  @Test
  void republishesRetiredProfilesOnlyFromTheirLastRevision() {
    fold.apply(1, change("a", Kind.PUBLISH, 0, DOCUMENT));
    fold.apply(2, change("b", Kind.RETIRE, 1, ""));
    assertThat(fold.profile(NAME).isPresent()).isFalse();
    assertThat(fold.profileOrLast(NAME).isPresent()).isTrue();
    assertThat(fold.apply(3, change("c", Kind.PUBLISH, 0, DOCUMENT)).status())
        .isEqualTo(Status.CONFLICT);
    assertThat(fold.apply(4, change("d", Kind.PUBLISH, 2, DOCUMENT)).status())
        .isEqualTo(Status.ACCEPTED);
  }

  private static ProfileChange change(String id, Kind kind, long base, String document) {
    return new ProfileChange(id, kind, NAME, new Revision(base), document, "op-" + id);
  }
}
