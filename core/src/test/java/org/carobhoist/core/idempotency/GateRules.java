package org.carobhoist.core.idempotency;

import java.time.Instant;
import java.util.function.BinaryOperator;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.carobhoist.core.common.Clock;

/**
 * Creates key gates in which a test can replace individual safety rules with faulty ones.
 *
 * @param lease maps the correct lease check to the one to use
 * @param tenureFloor returns the floor of a tenure that starts at the given time
 * @param tableFloor returns the floor of a table after a key has been evicted
 */
public record GateRules(
    UnaryOperator<BooleanSupplier> lease,
    Function<Instant, Instant> tenureFloor,
    BinaryOperator<Instant> tableFloor) {

  /** Returns the rules used in production. */
  public static GateRules sound() {
    return new GateRules(
        check -> check, HomePolicy.DEFAULT::floor, FloorRule.NEWEST_EVICTED::raise);
  }

  /** Returns these rules with another lease check. */
  public GateRules withLease(UnaryOperator<BooleanSupplier> value) {
    return new GateRules(value, tenureFloor, tableFloor);
  }

  /** Returns these rules with another tenure floor. */
  public GateRules withTenureFloor(Function<Instant, Instant> value) {
    return new GateRules(lease, value, tableFloor);
  }

  /** Returns these rules with another table floor. */
  public GateRules withTableFloor(BinaryOperator<Instant> value) {
    return new GateRules(lease, tenureFloor, value);
  }

  /** Returns a duplicate table that follows these rules. */
  public DuplicateTable<String> table(DuplicatePolicy policy, Clock clock) {
    return DuplicateTable.create(policy, clock, String::length, tableFloor::apply);
  }

  /** Returns a gate that follows these rules. */
  public KeyGate<String> gate(
      HomeMember self,
      Clock clock,
      HomeLease homeLease,
      HomeHistory history,
      DuplicateTable<String> table) {
    BooleanSupplier check = lease.apply(homeLease::isValid);
    return new KeyGate<>(
        self, HomePolicy.DEFAULT, clock, check::getAsBoolean, tenureFloor::apply, history, table);
  }
}
