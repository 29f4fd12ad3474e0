package org.skylarkbend.catalog;

import org.skylarkbend.base.Result;

/** Parses the catalog documents of operators. */
@FunctionalInterface
public interface CatalogReader {
    /**
     * Returns the catalog of a document that is to be published, or a failure with the reason if
     * the document is invalid.
     */
    Result<Catalog> read(byte[] document);

    /**
     * Returns the catalog of a document that was published, perhaps by an earlier version of this
     * program. A reader that has become stricter than an earlier version still accepts here what
     * that version has accepted.
     */
    default Result<Catalog> readPublished(byte[] document) {
        return read(document);
    }
}
