/** Which instances exist, which of them are leaving, and leases on that view. */
package org.carobhoist.core.membership;
