/** A fake of a plain service that counts how often each call ran. */
package org.skylarkbend.standin.service;
