/** The leadership of the scheduler: taking it over, and carrying out what the scheduler decides. */
package org.flamingochute.node.leadership;
