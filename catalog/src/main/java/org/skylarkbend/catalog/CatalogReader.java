package org.skylarkbend.catalog;

import org.skylarkbend.base.Result;

/** Reads a catalog from the document that operators sent. */
@FunctionalInterface
public interface CatalogReader {
    /** The catalog, or why the document is none. */
    Result<Catalog> read(byte[] document);
}
