/** The entry node without sockets. */
package org.flamingochute.engine;
