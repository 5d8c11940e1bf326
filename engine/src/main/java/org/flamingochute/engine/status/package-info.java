/** What an entry reports of itself, of the pools and of the teams. */
package org.flamingochute.engine.status;
