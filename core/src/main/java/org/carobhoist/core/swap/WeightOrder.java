package org.carobhoist.core.swap;

import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;

/**
 * An order to the engines of a model to serve a weight version.
 *
 * @param model the model
 * @param version the version to serve
 * @param fence fencing number: the log offset of the order's record
 */
public record WeightOrder(ServiceName model, WeightVersion version, long fence) {}
