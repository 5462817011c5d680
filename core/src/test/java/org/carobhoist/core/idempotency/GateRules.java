package org.carobhoist.core.idempotency;

import java.time.Instant;
import java.util.function.BinaryOperator;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.carobhoist.core.common.Clock;

/**
 * Makes gates of which a test may replace single rules by wrong ones.
 *
 * @param lease takes the sound lease check and returns the one to use
 * @param tenureFloor floor of a tenure that starts at the given time
 * @param tableFloor floor of a table after it forgot a key
 */
public record GateRules(
    UnaryOperator<BooleanSupplier> lease,
    Function<Instant, Instant> tenureFloor,
    BinaryOperator<Instant> tableFloor) {

  /** Returns the rules of production. */
  public static GateRules sound() {
    return new GateRules(
        check -> check, HomePolicy.DEFAULT::floor, FloorRule.NEWEST_FORGOTTEN::raise);
  }

  /** Returns these rules with another lease check. */
  public GateRules withLease(UnaryOperator<BooleanSupplier> value) {
    return new GateRules(value, tenureFloor, tableFloor);
  }

  /** Returns these rules with another floor of tenures. */
  public GateRules withTenureFloor(Function<Instant, Instant> value) {
    return new GateRules(lease, value, tableFloor);
  }

  /** Returns these rules with another floor of tables. */
  public GateRules withTableFloor(BinaryOperator<Instant> value) {
    return new GateRules(lease, tenureFloor, value);
  }

  /** Returns a table. */
  public DuplicateTable<String> table(DuplicatePolicy policy, Clock clock) {
    return DuplicateTable.create(policy, clock, String::length, tableFloor::apply);
  }

  /** Returns a gate. */
  public KeyGate<String> gate(
      HomeMember self,
      Clock clock,
      HomeLease held,
      HomeHistory history,
      DuplicateTable<String> table) {
    BooleanSupplier check = lease.apply(held::isValid);
    return new KeyGate<>(
        self, HomePolicy.DEFAULT, clock, check::getAsBoolean, tenureFloor::apply, history, table);
  }
}
