package org.carobhoist.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carobhoist.core.common.Verdict;
import org.carobhoist.core.idempotency.Fingerprint;
import org.carobhoist.core.idempotency.RequestKey;

/** One logical request of a simulated caller, with all of its submissions. */
final class WorldWork {

  /** Where the idempotency key of the request comes from, if it has one. */
  enum Kind {
    CALLERS_KEY,
    CALLERS_KEY_SMALL_TABLE,
    ISSUED_KEY,
    MINTED_KEY,
    IDEMPOTENT
  }

  final String name;
  final Kind kind;
  final Optional<RequestKey> key;
  final List<Sending> sendings = new ArrayList<>();
  int runs;

  WorldWork(String name, Kind kind, Optional<RequestKey> key) {
    this.name = name;
    this.kind = kind;
    this.key = key;
  }

  /** One submission of the request, with the response that the caller got. */
  static final class Sending {
    final WorldWork work;
    final StringBuilder text = new StringBuilder();
    int heads;
    int finals;
    int runs;
    Optional<Verdict> verdict = Optional.empty();

    Sending(WorldWork work) {
      this.work = work;
      work.sendings.add(this);
    }

    void end(Verdict value) {
      finals++;
      verdict = Optional.ofNullable(value);
    }
  }

  boolean isIdempotent() {
    return kind == Kind.IDEMPOTENT;
  }

  String answer() {
    return "done " + name;
  }

  Fingerprint fingerprint() {
    return Fingerprint.of("POST", "/" + name, new byte[0]);
  }

  /** Returns the first violation, or empty. */
  Optional<String> fault() {
    if (!isIdempotent() && runs > 1) {
      return Optional.of(name + " ran " + runs + " times");
    }
    boolean allNotRun =
        sendings.stream().allMatch(s -> s.verdict.equals(Optional.of(Verdict.NOT_RUN)));
    if (allNotRun && runs > 0) {
      return Optional.of(name + " ran, but every submission was answered NOT_RUN");
    }
    return sendings.stream().map(this::fault).flatMap(Optional::stream).findFirst();
  }

  private Optional<String> fault(Sending s) {
    if (s.finals != 1) {
      return Optional.of(name + ": a submission got " + s.finals + " final responses");
    }
    if (s.heads > 1) {
      return Optional.of(name + ": a submission got " + s.heads + " response heads");
    }
    if (s.verdict.equals(Optional.of(Verdict.NOT_RUN)) && s.runs > 0) {
      return Optional.of(name + ": a submission that ran was answered NOT_RUN");
    }
    boolean completed = s.verdict.equals(Optional.of(Verdict.COMPLETED));
    if (completed && !s.text.toString().equals(answer())) {
      return Optional.of(name + ": got '" + s.text + "'");
    }
    return completed && runs == 0
        ? Optional.of(name + " completed without a run")
        : Optional.empty();
  }
}
