/**
 * Whether this host's configuration is current enough to serve keyed routes.
 */
@NullMarked
package org.plantainspur.core.currency;

import org.jspecify.annotations.NullMarked;
