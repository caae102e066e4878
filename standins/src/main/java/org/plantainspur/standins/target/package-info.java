/**
 * An emulator of targets with configurable service times, failures and crashes.
 */
@NullMarked
package org.plantainspur.standins.target;

import org.jspecify.annotations.NullMarked;
