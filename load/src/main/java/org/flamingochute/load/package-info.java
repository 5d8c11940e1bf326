/** The load tool. */
package org.flamingochute.load;
