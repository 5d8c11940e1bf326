/** Checks of the documentation against the sources. */
package org.flamingochute.node.documentation;
