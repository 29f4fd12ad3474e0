package org.skylarkbend.publishing;

import org.skylarkbend.base.ObjectName;

/**
 * A version of the software or model that endpoints run.
 *
 * @param name the unique name of the version
 * @param model the name of the model that it serves
 * @param weights the location of the weights in the weight store; cache entries are not valid
 *     across different weights
 * @param loadMilliseconds the time one endpoint needs to load it
 */
public record EndpointVersion(
        ObjectName name, String model, String weights, long loadMilliseconds) {}
