/** A small client with which a trainer takes the samples of its steps. */
package org.carobhoist.trainer;
