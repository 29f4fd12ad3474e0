/**
 * Sets of named objects that refer to each other by name: their model, their YAML format and their
 * validation.
 */
package org.skylarkbend.publishing;
