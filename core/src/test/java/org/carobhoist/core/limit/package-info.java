/** Tests of admission, and the simulation of an overload on the real classes. */
package org.carobhoist.core.limit;
