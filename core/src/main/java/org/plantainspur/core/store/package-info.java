/**
 * The port to the platform's table store, and the replicas of its tables that each host
 * keeps.
 */
@NullMarked
package org.plantainspur.core.store;

import org.jspecify.annotations.NullMarked;
