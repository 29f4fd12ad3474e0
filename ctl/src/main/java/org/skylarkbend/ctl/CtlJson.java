package org.skylarkbend.ctl;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Creates the JSON that the program itself prints. */
final class CtlJson {
    private CtlJson() {}

    /** Returns an empty object. */
    static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }
}
