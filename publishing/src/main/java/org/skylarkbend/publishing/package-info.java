/**
 * The configuration that operators publish as a set of objects, which refer to each other by name:
 * its model, YAML format and validation.
 */
package org.skylarkbend.publishing;
