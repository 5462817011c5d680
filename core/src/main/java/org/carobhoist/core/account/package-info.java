/** Accounts of clients: which account a request belongs to and whether it is accepted. */
package org.carobhoist.core.account;
