/**
 * The platform's table store as a port, and the loop that follows a table.
 */
@NullMarked
package org.plantainspur.core.store;

import org.jspecify.annotations.NullMarked;
