/**
 * Settings read from command-line flags and environment variables.
 */
@NullMarked
package org.plantainspur.adapters.settings;

import org.jspecify.annotations.NullMarked;
