/**
 * The members of the fleet and the hosts that an account or a service is assigned to.
 */
@NullMarked
package org.plantainspur.core.membership;

import org.jspecify.annotations.NullMarked;
