/** The node process, which runs on each entry instance of the users' platform. */
package org.flamingochute.node;
