package org.carobhoist.core.chart;

import java.util.List;

/**
 * The effect of one event in one state.
 *
 * @param next the next state
 * @param actions the actions to run, in order
 * @param <S> the states
 * @param <A> the actions
 */
public record Transition<S, A>(S next, List<A> actions) {}
