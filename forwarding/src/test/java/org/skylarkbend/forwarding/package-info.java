/** Tests of admission, retries and response streams. */
package org.skylarkbend.forwarding;
