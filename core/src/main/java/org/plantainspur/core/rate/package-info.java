/**
 * Enforces the rate and burst of each client account across all hosts.
 */
@NullMarked
package org.plantainspur.core.rate;

import org.jspecify.annotations.NullMarked;
