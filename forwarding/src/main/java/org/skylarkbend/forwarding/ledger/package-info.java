/**
 * The call ledger, a durable record of calls that must run at most once.
 *
 * <p>A router reserves a call before sending it and settles it afterwards. The control process
 * keeps the ledger in its replicated log, so a resend through any router finds the record of the
 * call.
 */
package org.skylarkbend.forwarding.ledger;
