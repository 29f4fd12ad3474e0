/** Access control: caller keys and open routes. */
package org.skylarkbend.access;
