/** The operators' command line. */
package org.flamingochute.control;
