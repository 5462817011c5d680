package org.carobhoist.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carobhoist.core.common.Verdict;
import org.carobhoist.core.idempotency.Fingerprint;
import org.carobhoist.core.idempotency.RequestKey;

/** One logical request of a simulated caller, with all of its submissions. */
final class LogicalRequest {

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
  final List<Submission> submissions = new ArrayList<>();
  int runCount;

  LogicalRequest(String name, Kind kind, Optional<RequestKey> key) {
    this.name = name;
    this.kind = kind;
    this.key = key;
  }

  /** One submission of the request, with the response that the caller got. */
  static final class Submission {
    final LogicalRequest request;
    final StringBuilder text = new StringBuilder();
    int headCount;
    int finalResponseCount;
    int runCount;
    Optional<Verdict> verdict = Optional.empty();

    Submission(LogicalRequest request) {
      this.request = request;
      request.submissions.add(this);
    }

    void recordOutcome(Verdict value) {
      finalResponseCount++;
      verdict = Optional.ofNullable(value);
    }
  }

  boolean isIdempotent() {
    return kind == Kind.IDEMPOTENT;
  }

  String response() {
    return "done " + name;
  }

  Fingerprint fingerprint() {
    return Fingerprint.of("POST", "/" + name, new byte[0]);
  }

  /** Returns the first violation, or empty. */
  Optional<String> violation() {
    if (!isIdempotent() && runCount > 1) {
      return Optional.of(name + " ran " + runCount + " times");
    }
    boolean allNotRun =
        submissions.stream().allMatch(s -> s.verdict.equals(Optional.of(Verdict.NOT_RUN)));
    if (allNotRun && runCount > 0) {
      return Optional.of(name + " ran, but every submission was answered NOT_RUN");
    }
    return submissions.stream().map(this::violation).flatMap(Optional::stream).findFirst();
  }

  private Optional<String> violation(Submission s) {
    if (s.finalResponseCount != 1) {
      return Optional.of(name + ": a submission got " + s.finalResponseCount + " final responses");
    }
    if (s.headCount > 1) {
      return Optional.of(name + ": a submission got " + s.headCount + " response heads");
    }
    if (s.verdict.equals(Optional.of(Verdict.NOT_RUN)) && s.runCount > 0) {
      return Optional.of(name + ": a submission that ran was answered NOT_RUN");
    }
    boolean completed = s.verdict.equals(Optional.of(Verdict.COMPLETED));
    if (completed && !s.text.toString().equals(response())) {
      return Optional.of(name + ": got '" + s.text + "'");
    }
    return completed && runCount == 0
        ? Optional.of(name + " completed without a run")
        : Optional.empty();
  }
}
