package org.carobhoist.core.chart;

import java.util.List;

/**
 * What one event does in one state.
 *
 * @param next the state afterwards
 * @param actions what to carry out, in order
 * @param <S> the states
 * @param <A> the actions
 */
public record Transition<S, A>(S next, List<A> actions) {}
