/**
 * The entry host daemon.
 */
@NullMarked
package org.plantainspur.host;

import org.jspecify.annotations.NullMarked;
