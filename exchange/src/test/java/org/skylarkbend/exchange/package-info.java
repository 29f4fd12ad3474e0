/** Tests of exchanges against servers on the loopback interface. */
package org.skylarkbend.exchange;
