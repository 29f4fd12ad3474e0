/** Admission, retries and response streams of calls, and calls that run at most once. */
package org.skylarkbend.forwarding;
