/** Client accounts. */
package org.carobhoist.core.account;
