/** What a day's logs say of its steps: how long each took, and where its time went. */
package org.carobhoist.core.report;
