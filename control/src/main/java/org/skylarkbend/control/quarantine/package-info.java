/** Quarantines the parts of prompts that crash engines, and keeps them in the replicated state. */
package org.skylarkbend.control.quarantine;
