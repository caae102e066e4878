/**
 * Start-up code that the stand-ins' main classes share.
 */
@NullMarked
package org.plantainspur.standins.program;

import org.jspecify.annotations.NullMarked;
