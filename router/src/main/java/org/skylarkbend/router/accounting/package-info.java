/** Reports of token usage to control, and customers with an exhausted monthly grant. */
package org.skylarkbend.router.accounting;
