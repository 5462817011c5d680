/** A small client library with which a trainer fetches the samples of its steps. */
package org.carobhoist.trainer;
