/** Stand-ins for the platform. */
package org.flamingochute.standin;
