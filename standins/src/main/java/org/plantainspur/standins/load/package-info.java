/**
 * An open-loop load tool: requests are sent at their intended times, whether or not
 * earlier ones have been answered.
 */
@NullMarked
package org.plantainspur.standins.load;

import org.jspecify.annotations.NullMarked;
