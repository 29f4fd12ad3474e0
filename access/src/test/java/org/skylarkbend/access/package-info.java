/** Tests of access control. */
package org.skylarkbend.access;
