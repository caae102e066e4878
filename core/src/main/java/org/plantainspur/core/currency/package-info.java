/**
 * Decides whether this host's configuration is current. Currency means that no newer
 * change can have been accepted, so that routes that need a key may be served.
 */
@NullMarked
package org.plantainspur.core.currency;

import org.jspecify.annotations.NullMarked;
