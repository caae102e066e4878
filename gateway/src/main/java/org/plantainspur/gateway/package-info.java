/**
 * The entry host for small machines: wiring, start and stop.
 */
@NullMarked
package org.plantainspur.gateway;

import org.jspecify.annotations.NullMarked;
