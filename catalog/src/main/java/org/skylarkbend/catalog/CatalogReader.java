package org.skylarkbend.catalog;

import org.skylarkbend.base.Result;

/** Parses the catalog document of an operator. */
@FunctionalInterface
public interface CatalogReader {
    /** Returns the catalog, or a failure with the reason if the document is invalid. */
    Result<Catalog> read(byte[] document);
}
