/**
 * The members of the fleet, how a process joins and leaves, and which hosts an account or
 * a service is assigned to.
 */
@NullMarked
package org.plantainspur.core.membership;

import org.jspecify.annotations.NullMarked;
