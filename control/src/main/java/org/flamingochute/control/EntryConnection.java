package org.flamingochute.control;

/** Calls the operator interface of one entry. */
public interface EntryConnection {

  /** Returns the address of the entry, for error messages. */
  String address();

  /** Sends a GET request. */
  EntryCallResult get(String path);

  /** Sends a POST request with a JSON body, without retries. */
  EntryCallResult post(String path, String json);
}
