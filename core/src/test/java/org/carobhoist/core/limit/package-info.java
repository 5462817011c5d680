/** Tests of admission control and of the memory budget. */
package org.carobhoist.core.limit;
