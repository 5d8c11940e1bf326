package org.flamingochute.entry.peer;

import io.netty.handler.codec.DecoderException;

/** A frame that breaks the protocol. Its connection is closed. */
final class MalformedFrameException extends DecoderException {
  private static final long serialVersionUID = 1L;

  MalformedFrameException(String message) {
    super(message);
  }
}
