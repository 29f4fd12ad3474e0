/**
 * A fake of a model engine with a prefix cache, a request queue, streamed responses, orders, cache
 * events and fault injection.
 */
package org.skylarkbend.standin.engine;
