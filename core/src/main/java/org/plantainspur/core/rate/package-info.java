/**
 * Enforces the rate and burst of each client account across all hosts. The home hosts of
 * an account hold equal shares of both and lend tokens to other hosts. A host is fenced
 * when its evidence that its configuration is current has expired: it then neither serves
 * requests on routes that need a key nor lends tokens.
 */
@NullMarked
package org.plantainspur.core.rate;

import org.jspecify.annotations.NullMarked;
